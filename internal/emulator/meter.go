package emulator

import (
	"math/rand/v2"
	"time"
)

// Load is a load report: the share of the cores in use, requests and errors a second.
type Load struct {
	Util, Rate, Errors float64
}

// meter takes load reports at intervals and shows the latest that is old enough.
type meter struct {
	every, late time.Duration
	noise       float64
	next        time.Duration // when the interval under way ends
	busy        float64       // seconds of use in it
	ends, fails int           // requests ended in it
	taken       []taken       // not shown yet, oldest first, and the one shown before them
}

type taken struct {
	at   time.Duration
	load Load
}

func newMeter(spec Spec, now time.Duration) meter {
	return meter{every: spec.ReportEvery, late: spec.ReportLate, noise: spec.ReportNoise, next: now + spec.ReportEvery}
}

// pass counts a span of even use.
func (m *meter) pass(from, to time.Duration, usage float64) {
	if m.every <= 0 {
		return
	}
	for to >= m.next {
		m.busy += usage * (m.next - from).Seconds()
		m.take()
		from = m.next
		m.next += m.every
	}
	m.busy += usage * (to - from).Seconds()
}

func (m *meter) take() {
	span := m.every.Seconds()
	m.taken = append(m.taken, taken{m.next, Load{Util: min(1, m.busy/span), Rate: float64(m.ends) / span,
		Errors: float64(m.fails) / span}})
	m.busy, m.ends, m.fails = 0, 0, 0
	if over := len(m.taken) - 2 - int(m.late/m.every); over > 0 { // older ones will never be shown again
		m.taken = m.taken[over:]
	}
}

func (m *meter) done(failed bool) {
	m.ends++
	if failed {
		m.fails++
	}
}

// shown is the latest report that is old enough, with its error.
func (m *meter) shown(now time.Duration, random *rand.Rand) (l Load) {
	for _, t := range m.taken {
		if now-t.at >= m.late {
			l = t.load
		}
	}
	off := func(x float64) float64 { return max(0, x*(1+m.noise*random.NormFloat64())) }
	return Load{Util: min(1, off(l.Util)), Rate: off(l.Rate), Errors: off(l.Errors)}
}
