package scenario

import (
	"fmt"
	"time"
)

// checkAssertions records each assertion of the script that failed.
func (d *Report) checkAssertions(s Script) {
	for _, a := range s.Assertions {
		switch {
		case a.MaxOccupancy > 0:
			d.checkOccupancy(a)
		case a.After != "":
			d.checkRecovery(a)
		default:
			d.checkService(a)
		}
	}
}

// addFailedAssertion records the message of an assertion that failed.
func (d *Report) addFailedAssertion(format string, args ...any) {
	d.FailedAssertions = append(d.FailedAssertions, fmt.Sprintf(format, args...))
}

// checkService compares the service of a period, or of the whole run, with the least that an assertion allows.
func (d *Report) checkService(a Assertion) {
	from, to := int(a.From.From/time.Second), len(d.Seconds)
	if a.Until.From > 0 {
		to = int(a.Until.From / time.Second)
	}
	got, what := d.serviceBetween(from, to), fmt.Sprintf("service from %v to %v", a.From.From, a.Until.From)
	if a.From.From == 0 && a.Until.From == 0 {
		got, what = d.Service.Figure, "the service figure"
	}
	if got < a.MinService {
		d.addFailedAssertion("%s is %.4f, at least %.4f was asked for", what, got, a.MinService)
	}
}

// checkRecovery checks the ten seconds that begin a.Within after the end of each event of a type. An event whose ten seconds
// begin after the end of the run fails.
func (d *Report) checkRecovery(a Assertion) {
	for _, h := range d.Events {
		if h.Type != a.After {
			continue
		}
		ended := h.At + h.Duration - startTime - settleTime
		from := int((ended + a.Within.To + time.Second - 1) / time.Second)
		if from >= len(d.Seconds) {
			d.addFailedAssertion("%s ended at %v, and the day before recovery could be seen", h.Type, ended.Round(time.Millisecond))
		} else if got := d.serviceBetween(from, from+10); got < a.MinService {
			d.addFailedAssertion("service is %.4f in the ten seconds from %v after %s, at least %.4f was asked for", got, a.Within.To, h.Type, a.MinService)
		}
	}
}

// checkOccupancy compares the most requests that each server held with the share of its capacity that an assertion allows.
func (d *Report) checkOccupancy(a Assertion) {
	for _, s := range d.Servers {
		if s.Capacity > 0 && float64(s.Peak) > a.MaxOccupancy*float64(s.Capacity) {
			d.addFailedAssertion("%s held %d of %d, at most the share %.2f was asked for", s.Name, s.Peak, s.Capacity, a.MaxOccupancy)
		}
	}
}
