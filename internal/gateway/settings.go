// Package gateway is the router daemon of an entry VM. It connects the packages of
// the request path to the adapter of a platform.
package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"kumquatcleat/internal/strictjson"
)

// Settings are the settings of one gateway, read from a JSON file. All fields except
// those in optionalFields are required. Every address is IP:port.
type Settings struct {
	VM            string `json:"vm"`             // name of this VM
	FailureDomain string `json:"failure_domain"` // failure domain of this VM
	IP            string `json:"ip"`             // source address of outgoing connections
	Listen        string `json:"listen"`         // address for callers
	ReadyListen   string `json:"ready_listen"`   // address that serves GET /ready
	PeerListen    string `json:"peer_listen"`    // address for other VMs
	MetricsListen string `json:"metrics_listen"` // address that serves GET /metrics and GET /explain
	Store         string `json:"store"`          // address of the platform's store
	// Seeds are peer addresses of other VMs, which this VM follows at the start while
	// it knows no VM. They may be stale.
	Seeds    []string `json:"seeds"`
	LogLevel string   `json:"log_level"` // debug, info, warn or error

	MemoryMB    float64 `json:"memory_mb"`    // the platform kills the process above this
	Processor   float64 `json:"processor"`    // cores of the VM, may be a fraction
	LinkMbps    float64 `json:"link_mbps"`    // bandwidth of the VM's network link, megabits per second
	Descriptors int     `json:"descriptors"`  // limit of open files and sockets
	GraceS      float64 `json:"grace_s"`      // from SIGTERM to SIGKILL
	DrainS      float64 `json:"drain_s"`      // a draining server gets no requests after this
	HoldMaxS    float64 `json:"hold_max_s"`   // longest lease on keys that a server accepts
	RowBytes    int     `json:"row_bytes"`    // largest value of a row in the store
	RetryRatio  float64 `json:"retry_ratio"`  // retries per request, over all VMs
	RetrySlack  float64 `json:"retry_slack"`  // additional retries per window, over all VMs
	RetryWindow float64 `json:"retry_window"` // seconds
	// EvacuateS is the time after which an evacuated failure domain must get no more requests.
	EvacuateS float64 `json:"evacuate_s"`
	// CrossDomainPrice is the loss per kB that a request sends between failure domains, where 1 is
	// the worth of an answer in time. Without it (NaN), nothing is decided for a whole domain: each
	// VM compares servers with the default price.
	CrossDomainPrice float64 `json:"cross_domain_price"`
	CrossDomainMS    float64 `json:"cross_domain_ms"` // one-way latency between failure domains
}

// optionalFields are the fields that a settings file may leave out.
var optionalFields = []string{"seeds", "evacuate_s", "cross_domain_price", "cross_domain_ms"}

const (
	// maxCrossDomainPrice is above the price from which nothing leaves a domain, and below the
	// penalty of unreachable servers: requests leave when all servers of the domain are.
	maxCrossDomainPrice = 10
	maxCrossDomainMS    = 1000
)

// defaultEvacuateS applies where the platform states no bound for evacuations.
const defaultEvacuateS = 5

// maxEvacuateS bounds evacuate_s: keys that move for longer would hold up other moves.
const maxEvacuateS = 600

// evacuateBound returns the time after which an evacuated failure domain must get no more requests.
func (s *Settings) evacuateBound() time.Duration {
	if s.EvacuateS == 0 {
		return seconds(defaultEvacuateS)
	}
	return seconds(s.EvacuateS)
}

// crossDomainPrice returns the loss per kB that a request sends between failure domains.
func (s *Settings) crossDomainPrice() float64 {
	if !s.spills() {
		return defaultCrossDomainPrice
	}
	return s.CrossDomainPrice
}

// spills reports whether it is decided for whole failure domains what leaves them.
func (s *Settings) spills() bool { return !math.IsNaN(s.CrossDomainPrice) }

// Grace returns the time between SIGTERM and the forced end of the process.
func (s *Settings) Grace() time.Duration { return seconds(s.GraceS) }

// memoryShare returns a share of the VM's memory in bytes.
func (s *Settings) memoryShare(share float64) int64 { return int64(share * s.MemoryMB * (1 << 20)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, errors.New("no settings file given: pass --settings FILE, or let the platform set its path")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: read file: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and validates the content of a settings file. The error names every
// field that is unknown, missing or out of range.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{CrossDomainPrice: math.NaN(), CrossDomainMS: defaultCrossDomainMS}
	problems := strictjson.Decode(data, s)
	if len(problems) == 0 {
		problems = missingFields(data)
	}
	if len(problems) == 0 {
		problems = s.check()
	}
	if len(problems) == 0 {
		return s, nil
	}
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	slices.Sort(lines) // fields are checked in map order
	return nil, fmt.Errorf("%s", strings.Join(lines, "; "))
}

// missingFields returns a problem for each required field that a document lacks.
func missingFields(data []byte) []strictjson.Problem {
	var given, all map[string]json.RawMessage
	whole, err := json.Marshal(Settings{})
	if err != nil || json.Unmarshal(whole, &all) != nil || json.Unmarshal(data, &given) != nil {
		return []strictjson.Problem{{Want: "a JSON object"}}
	}
	var problems []strictjson.Problem
	for name := range all {
		if _, ok := given[name]; !ok && !slices.Contains(optionalFields, name) {
			problems = append(problems, strictjson.Problem{Field: name, Want: "a value; the field is missing"})
		}
	}
	return problems
}

func (s *Settings) check() []strictjson.Problem {
	var problems []strictjson.Problem
	wrong := func(field, value, want string) {
		problems = append(problems, strictjson.Problem{Field: field, Value: value, Want: want})
	}
	for field, value := range map[string]string{"vm": s.VM, "failure_domain": s.FailureDomain} {
		if value == "" {
			wrong(field, `""`, "a name")
		}
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		wrong("ip", s.IP, "an IP address")
	}
	for field, value := range map[string]string{
		"listen": s.Listen, "ready_listen": s.ReadyListen, "peer_listen": s.PeerListen,
		"metrics_listen": s.MetricsListen, "store": s.Store,
	} {
		if _, err := netip.ParseAddrPort(value); err != nil {
			wrong(field, value, "IP:port")
		}
	}
	for field, value := range map[string]float64{
		"memory_mb": s.MemoryMB, "processor": s.Processor, "link_mbps": s.LinkMbps, "grace_s": s.GraceS, "drain_s": s.DrainS, "hold_max_s": s.HoldMaxS,
		"retry_window": s.RetryWindow, "descriptors": float64(s.Descriptors), "row_bytes": float64(s.RowBytes),
	} {
		if value <= 0 {
			wrong(field, fmt.Sprint(value), "more than 0")
		}
	}
	if s.EvacuateS < 0 || s.EvacuateS > maxEvacuateS {
		wrong("evacuate_s", fmt.Sprint(s.EvacuateS), fmt.Sprintf("0 to %d", maxEvacuateS))
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 {
		wrong("retry_ratio, retry_slack", fmt.Sprint(s.RetryRatio, ", ", s.RetrySlack), "at least 0")
	}
	if price := s.crossDomainPrice(); price < 0 || price > maxCrossDomainPrice {
		wrong("cross_domain_price", fmt.Sprint(price), fmt.Sprint("0 to ", maxCrossDomainPrice))
	}
	if s.CrossDomainMS < 0 || s.CrossDomainMS > maxCrossDomainMS {
		wrong("cross_domain_ms", fmt.Sprint(s.CrossDomainMS), fmt.Sprint("0 to ", maxCrossDomainMS))
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		wrong("log_level", s.LogLevel, "debug, info, warn or error")
	}
	return problems
}
