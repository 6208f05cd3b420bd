package limits

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"kumquatcleat/internal/config"
)

const (
	propertyRuns  = 2000
	propertySteps = 100
	propertySeed  = 11
)

// gateModel applies random steps to one gate and checks the invariants.
type gateModel struct {
	gate     *serverGate
	now      time.Time
	waiters  []*modelWaiter
	wakes    []time.Time
	granted  []*modelWaiter // holders of permits
	violated bool
	// leakPermits injects a bug: permits that a caller returns are lost.
	leakPermits bool
}

type modelWaiter struct {
	waiter
	decisions int
}

func newGateModel(s Settings) *gateModel {
	m := &gateModel{gate: newGate("s1", s, 3, 8), now: epoch}
	m.gate.scheduleWake = func(wait time.Duration) { m.wakes = append(m.wakes, m.now.Add(wait)) }
	return m
}

func (m *gateModel) step(n int) {
	choice, arg := n%8, n/8
	switch {
	case choice < 3:
		m.arrive(arg)
	case choice == 3:
		m.advance(time.Duration(arg%40) * time.Millisecond)
	case choice == 4:
		m.abandon(arg)
	case choice == 5 && arg%8 == 0:
		m.gate.resize(m.now, 1+arg/8%6, 1+arg/64%12)
	case len(m.granted) > 0:
		m.release(arg)
	}
}

func (m *gateModel) arrive(arg int) {
	w := &modelWaiter{}
	w.class = config.ClassInteractive
	if arg%3 == 0 {
		w.class = config.ClassDeferred
	}
	if arg%5 > 0 {
		w.deadline = m.now.Add(time.Duration(arg%300) * time.Millisecond)
	}
	w.onDecision = func(err error) {
		w.decisions++
		if err != nil {
			return
		}
		m.granted = append(m.granted, w)
		if float64(m.gate.inFlight) > m.gate.limiter.limit() {
			m.violated = true
		}
	}
	m.waiters = append(m.waiters, w)
	m.gate.admit(m.now, &w.waiter)
}

func (m *gateModel) release(arg int) {
	i := arg % len(m.granted)
	w := m.granted[i]
	m.granted = append(m.granted[:i], m.granted[i+1:]...)
	if m.leakPermits {
		return
	}
	result := Result(arg / 16 % 4)
	m.gate.release(m.now, w.class, result, time.Duration(1+arg%7)*time.Millisecond)
}

func (m *gateModel) abandon(arg int) {
	if len(m.waiters) == 0 {
		return
	}
	w := m.waiters[arg%len(m.waiters)]
	if m.gate.abandon(m.now, &w.waiter) {
		w.decisions++
	}
}

func (m *gateModel) advance(by time.Duration) {
	m.now = m.now.Add(by)
	due := m.wakes
	m.wakes = nil
	for _, at := range due {
		if at.After(m.now) {
			m.wakes = append(m.wakes, at)
			continue
		}
		m.gate.wake(func() time.Time { return m.now })
	}
}

// settle returns every permit and advances the clock past all pauses.
func (m *gateModel) settle() {
	for range 4 * propertySteps {
		for len(m.granted) > 0 {
			m.release(0)
		}
		m.advance(time.Second)
	}
}

// invariantsHold reports whether every waiter was decided once and all permits were returned.
func (m *gateModel) invariantsHold() bool {
	for _, w := range m.waiters {
		if w.decisions != 1 {
			return false
		}
	}
	return !m.violated && m.gate.inFlight == 0 && m.gate.pacer.inFlight == 0
}

func gateProperty(s Settings, leaks bool) gopter.Prop {
	steps := gen.SliceOf(gen.IntRange(0, 1<<20))
	return prop.ForAllNoShrink(func(steps []int) bool {
		m := newGateModel(s)
		m.leakPermits = leaks
		for _, n := range steps {
			m.step(n)
		}
		m.settle()
		return m.invariantsHold()
	}, steps)
}

func propertyParameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(propertySeed)
	p.MinSuccessfulTests = propertyRuns
	p.MaxSize = propertySteps
	return p
}

func TestEachWaiterIsDecidedOnceWithinTheLimit(t *testing.T) {
	t.Parallel()
	for _, algorithm := range []Algorithm{AlgorithmStatic, AlgorithmAIMD, AlgorithmGradient} {
		s := DefaultSettings()
		s.Algorithm = algorithm
		properties := gopter.NewProperties(propertyParameters())
		properties.Property(string(algorithm), gateProperty(s, false))
		properties.TestingRun(t)
	}
	if gateProperty(DefaultSettings(), true).Check(propertyParameters()).Passed() {
		t.Error("injected bug not found: permits are never returned")
	}
}
