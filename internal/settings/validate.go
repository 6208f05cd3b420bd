package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"kumquatcleat/internal/strictjson"
)

// Bounds of the settings; durations are in milliseconds.
const (
	maxGraceMS       = 3600_000 // the platform waits no longer when it stops a VM
	maxTimingMS      = 3600_000 // longer leases leave keys without an owner for hours
	minTimingMS      = 10       // shorter leases expire during an ordinary garbage collection pause
	maxDrift         = 500      // thousandths; a clock that drifts more is broken
	minReadsPerLease = 2        // reads of a group's row that must fit into the lease that one read gives
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

const nameWant = "1 to 64 lower case letters, digits, dashes and dots, with a letter or digit at both ends"

// Validate returns all problems of the settings.
func (s *Settings) Validate() []strictjson.Problem {
	c := &check{}
	c.name("id", s.ID)
	c.name("failure_domain", s.FailureDomain)
	c.address("listen", s.Listen)
	c.address("peer_listen", s.PeerListen)
	c.address("platform", s.Platform)
	for i, peer := range s.Peers {
		c.address(fmt.Sprintf("peers[%d]", i), peer)
	}
	c.distinct(s)
	c.logLevel(s.LogLevel)
	c.between("shutdown_grace_ms", s.ShutdownGraceMS, 0, maxGraceMS, "milliseconds")
	c.timing(s.Timing)
	c.section("limits", s.Limits.Validate())
	c.section("retry.budget", s.Retry.Budget.Validate())
	c.section("retry.claims", s.Retry.Claims.Validate())
	c.section("retry.quarantine", s.Retry.Quarantine.Validate())
	c.section("retry.deferred", s.Retry.Deferred.Validate())
	c.section("placement", s.Placement.Validate())
	return c.problems
}

type check struct{ problems []strictjson.Problem }

func (c *check) add(field, value, want string) {
	c.problems = append(c.problems, strictjson.Problem{Field: field, Value: value, Want: want})
}

func (c *check) name(field, value string) {
	if value == "" {
		c.add(field, "missing", nameWant)
		return
	}
	if !namePattern.MatchString(value) {
		c.add(field, strictjson.Quote(value), nameWant)
	}
}

func (c *check) address(field, value string) {
	const want = "IP:port with a port from 1 to 65535, such as 10.0.0.7:8080"
	if value == "" {
		c.add(field, "missing", want)
		return
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 {
		c.add(field, strictjson.Quote(value), want)
	}
}

func (c *check) distinct(s *Settings) {
	if s.Listen != "" && s.Listen == s.PeerListen {
		c.add("peer_listen", strictjson.Quote(s.PeerListen), "an address other than that of listen")
	}
}

func (c *check) logLevel(value string) {
	switch value {
	case "debug", "info", "warn", "error":
	default:
		c.add("log_level", strictjson.Quote(value), "debug, info, warn or error")
	}
}

func (c *check) between(field string, value, low, high int64, unit string) {
	if value < low || value > high {
		c.add(field, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d %s", low, high, unit))
	}
}

// section reports the error of another package about its settings. The text of err
// is the field, a colon and the problem of its value.
func (c *check) section(name string, err error) {
	if err == nil {
		return
	}
	field, wrong, _ := strings.Cut(err.Error(), ": ")
	field = strings.TrimPrefix(field, name+".")
	value, want, _ := strings.Cut(wrong, "; want ")
	c.add(name+"."+field, value, want)
}

func (c *check) timing(t Timing) {
	c.between("timing.lease_ms", t.LeaseMS, minTimingMS, maxTimingMS, "milliseconds")
	c.between("timing.row_right_ms", t.RowRightMS, minTimingMS, maxTimingMS, "milliseconds")
	c.between("timing.row_read_ms", t.RowReadMS, minTimingMS, maxTimingMS, "milliseconds")
	c.between("timing.promise_ms", t.PromiseMS, minTimingMS, maxTimingMS, "milliseconds")
	c.between("timing.outage_lease_ms", t.OutageLeaseMS, minTimingMS, maxTimingMS, "milliseconds")
	c.between("timing.table_settled_ms", t.TableSettledMS, minTimingMS, maxTimingMS, "milliseconds")
	c.between("timing.route_lease_ms", t.RouteLeaseMS, minTimingMS, maxTimingMS, "milliseconds")
	c.between("timing.heartbeat_ms", t.HeartbeatMS, minTimingMS, maxTimingMS, "milliseconds")
	c.between("timing.keeper_silence_ms", t.KeeperSilenceMS, t.HeartbeatMS, maxTimingMS, "milliseconds (the lower bound is timing.heartbeat_ms)")
	c.between("timing.hold_over_silence_ms", t.HoldOverSilenceMS, minTimingMS, maxTimingMS, "milliseconds")
	c.between("timing.standby_silence_ms", t.StandbySilenceMS, minTimingMS, maxTimingMS, "milliseconds")
	c.between("timing.retry_ms", t.RetryMS, minTimingMS, maxTimingMS, "milliseconds")
	c.between("timing.request_deadline_ms", t.RequestDeadlineMS, minTimingMS, maxTimingMS, "milliseconds")
	c.between("timing.drift_per_mill", t.DriftPerMill, 0, maxDrift, "thousandths")
	if t.RowReadMS*minReadsPerLease > t.RowRightMS {
		c.add("timing.row_read_ms", strconv.FormatInt(t.RowReadMS, 10),
			fmt.Sprintf("at most half of timing.row_right_ms (%d), or one slow read lets the keeper's lease expire", t.RowRightMS))
	}
}
