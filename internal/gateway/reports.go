package gateway

import (
	"sync"
	"time"

	"kumquatcleat/internal/bootclock"
)

// reportStamp orders the reports of a VM, and lets the coordinator find out which ones were held up
// on their way. VMs have no common clock.
type reportStamp struct {
	Run    runID  `json:"run"`    // of the reporting VM's process
	Number uint64 `json:"number"` // rises with each report of the run
	// Coordinator is the run of the coordinator's process that answered an earlier report,
	// ClockMS its clock then, and SinceMS the time since the VM sent that report. Zero for
	// the first report to a coordinator.
	Coordinator runID `json:"coordinator,omitempty"`
	ClockMS     int64 `json:"clock_ms,omitempty"`
	SinceMS     int64 `json:"since_ms,omitempty"`
}

// runID identifies a run of a process among those of a few minutes: a hash of its start ID, which is
// longer than the rest of a stamp. Zero: none.
type runID uint32

func newRunID(process string) runID { return max(1, runID(hashName(process))) }

// reportStamps stamps the reports of a VM. Not safe for concurrent use.
type reportStamps struct {
	run    runID
	now    bootclock.Clock
	number uint64
	// answered is about the last report that was answered.
	answered struct {
		coordinator runID
		clockMS     int64
		sent        time.Duration
	}
}

// next returns the stamp of a report that is sent now.
func (s *reportStamps) next() reportStamp {
	s.number++
	stamp := reportStamp{Run: s.run, Number: s.number}
	if s.answered.coordinator != 0 {
		stamp.Coordinator, stamp.ClockMS = s.answered.coordinator, s.answered.clockMS
		stamp.SinceMS = (s.now() - s.answered.sent).Milliseconds()
	}
	return stamp
}

// answer records the answer to a report that was sent at the given time. Coordinators of earlier
// builds state no clock.
func (s *reportStamps) answer(sent time.Duration, coordinator string, clockMS int64) {
	s.answered.coordinator, s.answered.clockMS, s.answered.sent = newRunID(coordinator), clockMS, sent
	if clockMS == 0 {
		s.answered.coordinator = 0
	}
}

// reportArrivals tells, at the coordinator, which reports are too old to count. Safe for concurrent
// use.
type reportArrivals struct {
	run runID // of this VM's process
	now bootclock.Clock

	mu   sync.Mutex             // guards last
	last map[string]reportStamp // by VM
}

func newReportArrivals(process string) *reportArrivals {
	return &reportArrivals{run: newRunID(process), now: bootclock.Now, last: map[string]reportStamp{}}
}

// clockMS returns the clock that answers to reports state.
func (a *reportArrivals) clockMS() int64 { return a.now().Milliseconds() }

// tooOld reports whether a report counts no more: its VM has given up on it, or has sent a newer one.
// The VM sent the last answered report before the coordinator read its clock for the answer, so
// the report was on its way for at least what the coordinator's clock has advanced more than the VM's.
func (a *reportArrivals) tooOld(vm string, stamp reportStamp) bool {
	if stamp.Run == 0 {
		return false // of an earlier build
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if stamp.Coordinator == a.run && a.clockMS()-stamp.ClockMS-stamp.SinceMS > reportTimeout.Milliseconds() {
		return true
	}
	if last := a.last[vm]; last.Run == stamp.Run && stamp.Number <= last.Number {
		return true
	}
	a.last[vm] = stamp
	return false
}
