package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"kumquatcleat/internal/strictjson"
)

// Bounds of the values in a record.
const (
	MaxSlotCount    = 65536     // with more, a group's row exceeds the size limit of a table row
	MaxServers      = 4096      // with more, a record is too large for all VMs to read within 5 s
	MaxServerSlots  = 65536     // concurrent requests
	MaxConnections  = 65536     // the number of ports of one address
	MaxRules        = 256       // each request is matched against them in turn
	MaxBodyLimit    = 1 << 30   // bytes
	MaxTimeoutLimit = 3600_000  // milliseconds; no VM lives for an hour, so no longer request could finish
	MaxQueueLength  = 1_000_000 // requests
)

const (
	nameWant      = "1 to 64 lower case letters, digits and dashes, with a letter or digit at both ends"
	addressWant   = "IP:port with a port from 1 to 65535, such as 10.0.0.7:8080"
	prefixWant    = "a path that starts with / and has no ?, #, space or .."
	keyPathWant   = "a path that starts and ends with / and has no ?, #, space or .."
	classWant     = `"interactive" or "deferred"`
	isolationWant = `"keep" or "move"`
	methodWant    = "an HTTP method in capital letters"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

// ValidName reports whether name is valid for a service, server or failure domain.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Validate returns every problem of a record. It does not compare the record with
// other versions; see ValidateChange.
func (s *Service) Validate() []strictjson.Problem {
	c := &check{}
	c.schema(s)
	c.between("version", int64(min(s.Version, 1<<62)), 1, 1<<62, "")
	c.name("name", s.Name)
	c.between("slot_count", int64(s.SlotCount), 1, MaxSlotCount, "slots")
	c.domains(s.Domains)
	c.oneOf("isolation", string(s.Isolation), isolationWant, "", string(IsolationKeep), string(IsolationMove))
	c.servers(s)
	c.rules(s)
	c.limits(s.Limits)
	return c.problems
}

type check struct{ problems []strictjson.Problem }

func (c *check) add(field, value, want string) {
	c.problems = append(c.problems, strictjson.Problem{Field: field, Value: value, Want: want})
}

func (c *check) schema(s *Service) {
	if s.Schema != 0 && !slices.Contains(ReadableSchemas(), s.Schema) {
		c.add("schema", strconv.Itoa(s.Schema), "1 or 2")
	}
}

func (c *check) name(field, value string) {
	if !ValidName(value) {
		c.add(field, strictjson.Quote(value), nameWant)
	}
}

func (c *check) between(field string, value, low, high int64, unit string) {
	if value < low || value > high {
		want := fmt.Sprintf("%d to %d %s", low, high, unit)
		c.add(field, strconv.FormatInt(value, 10), strings.TrimSpace(want))
	}
}

func (c *check) oneOf(field, value, want string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.add(field, strictjson.Quote(value), want)
	}
}

func (c *check) domains(domains []string) {
	if len(domains) == 0 {
		c.add("domains", "", "at least one failure domain")
	}
	seen := make(map[string]bool)
	for i, d := range domains {
		field := fmt.Sprintf("domains[%d]", i)
		c.name(field, d)
		if seen[d] {
			c.add(field, strictjson.Quote(d), "each failure domain once")
		}
		seen[d] = true
	}
}

func (c *check) servers(s *Service) {
	if len(s.Servers) == 0 || len(s.Servers) > MaxServers {
		c.add("servers", strconv.Itoa(len(s.Servers)), fmt.Sprintf("1 to %d servers", MaxServers))
	}
	ids := make(map[string]bool)
	addresses := make(map[string]bool)
	for i := range s.Servers {
		server := &s.Servers[i]
		field := fmt.Sprintf("servers[%d].", i)
		c.server(field, server, s.Domains)
		if ids[server.ID] {
			c.add(field+"id", strictjson.Quote(server.ID), "each id once")
		}
		if addresses[server.Address] {
			c.add(field+"address", strictjson.Quote(server.Address), "each address once")
		}
		ids[server.ID] = true
		addresses[server.Address] = true
	}
}

func (c *check) server(field string, server *Server, domains []string) {
	c.name(field+"id", server.ID)
	if addr, err := netip.ParseAddrPort(server.Address); err != nil || addr.Port() == 0 {
		c.add(field+"address", strictjson.Quote(server.Address), addressWant)
	}
	if !slices.Contains(domains, server.FailureDomain) {
		want := "one of the record's domains: " + strings.Join(domains, ", ")
		c.add(field+"failure_domain", strictjson.Quote(server.FailureDomain), want)
	}
	c.between(field+"slots", int64(server.Slots), 1, MaxServerSlots, "requests at once")
	c.between(field+"connections", int64(server.Connections), 1, MaxConnections, "connections")
}

func (c *check) rules(s *Service) {
	if len(s.Rules) > MaxRules {
		c.add("rules", strconv.Itoa(len(s.Rules)), fmt.Sprintf("at most %d rules", MaxRules))
	}
	for i := range s.Rules {
		c.rule(fmt.Sprintf("rules[%d].", i), &s.Rules[i], s.Limits)
	}
}

func (c *check) rule(field string, r *Rule, limits Limits) {
	for i, m := range r.Methods {
		if !methodPattern.MatchString(m) {
			c.add(fmt.Sprintf("%smethods[%d]", field, i), strictjson.Quote(m), methodWant)
		}
	}
	if r.PathPrefix != "" && !validPrefix(r.PathPrefix) {
		c.add(field+"path_prefix", strictjson.Quote(r.PathPrefix), prefixWant)
	}
	if r.KeyPrefix != "" && !validKeyPrefix(r.KeyPrefix) {
		c.add(field+"key_prefix", strictjson.Quote(r.KeyPrefix), keyPathWant)
	}
	c.aliases(field+"key_prefix_aliases", r)
	if r.Idempotent && r.NonIdempotent {
		c.add(field+"idempotent", "true", "one of idempotent and non_idempotent, not both")
	}
	c.oneOf(field+"class", string(r.Class), classWant, "", string(ClassInteractive), string(ClassDeferred))
	if r.Idempotent && r.NonIdempotent {
		c.add(field+"idempotent", "true", "it or non_idempotent, not both")
	}
	if r.DeferOK && r.Class != ClassDeferred {
		c.add(field+"defer_ok", "true", `class "deferred" in the same rule`)
	}
	high := int64(limits.MaxTimeout)
	if high == 0 {
		high = DefaultMaxTimeoutMS
	}
	c.between(field+"timeout_ms", int64(r.Timeout), 0, high, "milliseconds (the upper bound is limits.max_timeout_ms)")
}

func (c *check) aliases(field string, r *Rule) {
	if len(r.KeyPrefixAliases) > 0 && r.KeyPrefix == "" {
		c.add(field, strconv.Itoa(len(r.KeyPrefixAliases))+" aliases", "a key_prefix in the same rule")
	}
	for i, alias := range r.KeyPrefixAliases {
		at := fmt.Sprintf("%s[%d]", field, i)
		if !validKeyPrefix(alias) {
			c.add(at, strictjson.Quote(alias), keyPathWant)
		}
		if alias == r.KeyPrefix || slices.Contains(r.KeyPrefixAliases[:i], alias) {
			c.add(at, strictjson.Quote(alias), "each prefix once")
		}
	}
}

func (c *check) limits(l Limits) {
	c.between("limits.max_body_bytes", l.MaxBodyBytes, 0, MaxBodyLimit, "bytes")
	c.between("limits.default_timeout_ms", int64(l.DefaultTimeout), 0, MaxTimeoutLimit, "milliseconds")
	c.between("limits.max_timeout_ms", int64(l.MaxTimeout), 0, MaxTimeoutLimit, "milliseconds")
	c.between("limits.queue_length", int64(l.QueueLength), 0, MaxQueueLength, "requests")
	if l.MaxTimeout > 0 && l.DefaultTimeout > l.MaxTimeout {
		want := fmt.Sprintf("at most limits.max_timeout_ms (%d)", l.MaxTimeout)
		c.add("limits.default_timeout_ms", strconv.FormatInt(int64(l.DefaultTimeout), 10), want)
	}
}

func validPrefix(p string) bool {
	return strings.HasPrefix(p, "/") && !strings.ContainsAny(p, "?# \t\r\n\x00") && !strings.Contains(p, "..")
}

func validKeyPrefix(p string) bool { return validPrefix(p) && strings.HasSuffix(p, "/") }

// ValidateChange returns a ConfigInvalid error unless next may follow previous.
// previous is nil for a new record. The fields that determine the slot of a key and
// the home domain of a slot can't change: two VMs with different versions would
// send one key to two owners.
func ValidateChange(previous, next *Service) error {
	c := &check{}
	want := uint64(1)
	if previous != nil {
		want = previous.Version + 1
		c.unchanged(previous, next)
	}
	if next.Version != want {
		c.add("version", strconv.FormatUint(next.Version, 10), fmt.Sprintf("%d, one above the version in force", want))
	}
	if len(c.problems) > 0 {
		return invalid(next.Name, c.problems)
	}
	return nil
}

func (c *check) unchanged(previous, next *Service) {
	if next.Name != previous.Name {
		c.add("name", strictjson.Quote(next.Name), strictjson.Quote(previous.Name))
	}
	if next.SlotCount != previous.SlotCount {
		c.add("slot_count", strconv.FormatUint(uint64(next.SlotCount), 10),
			fmt.Sprintf("%d: it is fixed for the life of a service", previous.SlotCount))
	}
	if !slices.Equal(next.Domains, previous.Domains) {
		c.add("domains", strings.Join(next.Domains, ", "),
			strings.Join(previous.Domains, ", ")+": they and their order are fixed for the life of a service")
	}
}
