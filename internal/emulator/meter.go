package emulator

import (
	"math/rand/v2"
	"time"
)

// LoadReport is the utilization of the cores from 0 to 1, and served requests and errors a second.
type LoadReport struct {
	Utilization, ServedRate, ErrorRate float64
}

// loadMeter takes a load report at each interval and shows the latest one that is older than the delay.
type loadMeter struct {
	interval, delay   time.Duration
	noise             float64
	intervalEnd       time.Duration // when the interval under way ends
	busySeconds       float64       // seconds of use in it
	completed, failed int           // requests ended in it
	samples           []loadSample  // not shown yet, oldest first, and the one shown before them
}

// loadSample is a load report and when it was taken.
type loadSample struct {
	at   time.Duration
	load LoadReport
}

// newLoadMeter returns a meter whose first interval begins now.
func newLoadMeter(spec Spec, now time.Duration) loadMeter {
	return loadMeter{interval: spec.ReportInterval, delay: spec.ReportDelay, noise: spec.ReportNoise, intervalEnd: now + spec.ReportInterval}
}

// addUsage adds a period of constant usage.
func (m *loadMeter) addUsage(from, to time.Duration, usage float64) {
	if m.interval <= 0 {
		return
	}
	for to >= m.intervalEnd {
		m.busySeconds += usage * (m.intervalEnd - from).Seconds()
		m.sample()
		from = m.intervalEnd
		m.intervalEnd += m.interval
	}
	m.busySeconds += usage * (to - from).Seconds()
}

// sample takes the load report of the interval that ends.
func (m *loadMeter) sample() {
	span := m.interval.Seconds()
	m.samples = append(m.samples, loadSample{m.intervalEnd, LoadReport{Utilization: min(1, m.busySeconds/span), ServedRate: float64(m.completed) / span,
		ErrorRate: float64(m.failed) / span}})
	m.busySeconds, m.completed, m.failed = 0, 0, 0
	if over := len(m.samples) - 2 - int(m.delay/m.interval); over > 0 { // older ones will never be shown again
		m.samples = m.samples[over:]
	}
}

// addCompletion counts a completed request.
func (m *loadMeter) addCompletion(failed bool) {
	m.completed++
	if failed {
		m.failed++
	}
}

// visibleReport returns the latest report that is old enough, with its random error.
func (m *loadMeter) visibleReport(now time.Duration, random *rand.Rand) (l LoadReport) {
	for _, t := range m.samples {
		if now-t.at >= m.delay {
			l = t.load
		}
	}
	off := func(x float64) float64 { return max(0, x*(1+m.noise*random.NormFloat64())) }
	return LoadReport{Utilization: min(1, off(l.Utilization)), ServedRate: off(l.ServedRate), ErrorRate: off(l.ErrorRate)}
}
