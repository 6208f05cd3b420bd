package bench

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// clockTicks is how many ticks of /proc a second has; Linux shows user space 100.
const clockTicks = 100

// Usage is what a process has used since its start.
type Usage struct {
	CPUSeconds float64 `json:"cpu_s"`
	RSSMB      float64 `json:"rss_mb"` // resident memory now
}

// usageOf reads what a process has used.
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

// parseUsage reads processor time and resident pages from a line of
// /proc/PID/stat.
func parseUsage(stat []byte) (Usage, error) {
	end := bytes.LastIndexByte(stat, ')')
	if end < 0 {
		return Usage{}, fmt.Errorf("stat has no name")
	}
	fields := bytes.Fields(stat[end+1:])
	const userField, systemField, residentField = 11, 12, 21 // counted from the name on
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
		CPUSeconds: float64(values[0]+values[1]) / clockTicks,
		RSSMB:      float64(values[2]) * float64(os.Getpagesize()) / (1 << 20),
	}, nil
}

// vmUsage adds up what the live daemons have used.
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

// Cost is what the daemons used during a run.
type Cost struct {
	CPUSeconds    float64 `json:"cpu_s"`           // of all daemons together
	CPUMSPerCall  float64 `json:"cpu_ms_per_call"` // control work included
	RSSMBBefore   float64 `json:"rss_mb_before"`   // mean of a daemon
	RSSMBAfter    float64 `json:"rss_mb_after"`    // mean of a daemon
	CallsPerCoreS float64 `json:"calls_per_core_s"`
}

// costOf compares two readings around a run without restarts.
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

// restarts reports whether a fault ends or starts a daemon, which makes the cost
// of a run meaningless.
func (c *Cluster) restarts(faults []Fault) bool {
	for _, fault := range faults {
		if strings.HasPrefix(fault.Process, "vm-") {
			return true
		}
	}
	return false
}
