package bench

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// clockTicksPerSecond is the number of clock ticks per second in /proc; Linux
// shows 100 to user space.
const clockTicksPerSecond = 100

// Usage is what a process has used since its start.
type Usage struct {
	CPUSeconds float64 `json:"cpu_s"`
	RSSMB      float64 `json:"rss_mb"` // resident memory now
}

// usageOf returns what a process has used.
func usageOf(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	usage, err := parseUsage(stat)
	if err != nil {
		return Usage{}, err
	}
	return usage, nil
}

// parseUsage returns the CPU time and resident memory from a line of /proc/PID/stat.
func parseUsage(stat []byte) (Usage, error) {
	end := bytes.LastIndexByte(stat, ')')
	if end < 0 {
		return Usage{}, fmt.Errorf("stat has no name")
	}
	fields := bytes.Fields(stat[end+1:])
	const userField, systemField, residentField = 11, 12, 21 // indexes of the fields after the name
	if len(fields) <= residentField {
		return Usage{}, fmt.Errorf("stat has %d fields", len(fields))
	}
	var values [3]int64
	for i, field := range []int{userField, systemField, residentField} {
		value, err := strconv.ParseInt(string(fields[field]), 10, 64)
		if err != nil {
			return Usage{}, fmt.Errorf("stat: %w", err)
		}
		values[i] = value
	}
	return Usage{
		CPUSeconds: float64(values[0]+values[1]) / clockTicksPerSecond,
		RSSMB:      float64(values[2]) * float64(os.Getpagesize()) / (1 << 20),
	}, nil
}

// vmUsage sums what the live daemons have used.
func (c *Cluster) vmUsage() Usage {
	var sum Usage
	for _, vm := range c.VMs {
		p, err := loadProcess(c.Dir, vm.ID)
		if err != nil || !p.alive() {
			continue
		}
		usage, err := usageOf(p.PID)
		if err != nil {
			continue
		}
		sum.CPUSeconds += usage.CPUSeconds
		sum.RSSMB += usage.RSSMB
	}
	return sum
}

// Cost is what the daemons used during a bench run.
type Cost struct {
	CPUSeconds    float64 `json:"cpu_s"`           // of all daemons together
	CPUMSPerCall  float64 `json:"cpu_ms_per_call"` // includes control-plane work
	RSSMBBefore   float64 `json:"rss_mb_before"`   // mean per daemon
	RSSMBAfter    float64 `json:"rss_mb_after"`    // mean per daemon
	CallsPerCoreS float64 `json:"calls_per_core_s"`
}

// costOf returns the difference between readings before and after a bench run during
// which no daemon restarted.
func costOf(before, after Usage, vms, calls int) Cost {
	cost := Cost{
		CPUSeconds:  after.CPUSeconds - before.CPUSeconds,
		RSSMBBefore: before.RSSMB / float64(max(vms, 1)),
		RSSMBAfter:  after.RSSMB / float64(max(vms, 1)),
	}
	if calls > 0 && cost.CPUSeconds > 0 {
		cost.CPUMSPerCall = 1000 * cost.CPUSeconds / float64(calls)
		cost.CallsPerCoreS = float64(calls) / cost.CPUSeconds
	}
	return cost
}

// affectsDaemons reports whether a fault names a daemon's VM. The cost of the bench
// run is then not reported, since the daemon may have restarted.
func (c *Cluster) affectsDaemons(faults []Fault) bool {
	for _, fault := range faults {
		if strings.HasPrefix(fault.Process, "vm-") {
			return true
		}
	}
	return false
}
