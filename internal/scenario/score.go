package scenario

import (
	"time"

	"appleledge/internal/emulator"
)

// classPriorities are the priority weights of classes, in their order.
var classPriorities = []float64{2, 10}

// overQuotaPriorityRatio is the part of its priority that traffic beyond a refund point's share keeps.
const overQuotaPriorityRatio = 0.1

// evaluate counts the requests by result, computes the service figure, and checks rules and assertions.
func (d *Report) evaluate(all []*requestRecord, begin time.Duration, ledger *emulator.Ledger, now time.Duration, script Script) {
	d.Classes = make([]ClassReport, len(classes))
	for i, c := range classes {
		d.Classes[i].Name = c.Name
	}
	d.Seconds = make([]SecondReport, int(d.Duration/time.Second)+1)
	var worth, got float64
	byClass, byPoint := make([][2]float64, len(classes)), make([][2]float64, len(refundPoints))
	for _, r := range all {
		d.ClientRetries += r.attempts - 1
		second, class := &d.Seconds[int((r.arrived-begin)/time.Second)], &d.Classes[r.class]
		earned := 0.0
		second.Offered++
		class.Offered++
		switch {
		case r.result == served && r.latency <= latencyObjective:
			earned = classPriorities[r.class]
			second.InTime++
			class.InTime++
		case r.result == served:
			second.Late++
			class.Late++
		case r.result == rejected:
			second.Rejected++
			class.Rejected++
		case r.result == failed:
			second.Failed++
			class.Failed++
		default:
			second.Unanswered++
			class.Unanswered++
		}
		worth, got = worth+classPriorities[r.class], got+earned
		second.offeredPriority, second.earnedPriority = second.offeredPriority+classPriorities[r.class], second.earnedPriority+earned
		for _, part := range []*[2]float64{&byClass[r.class], &byPoint[r.tenant]} {
			part[0], part[1] = part[0]+classPriorities[r.class], part[1]+earned
		}
	}
	f := &d.Service
	f.Whole, f.WorstClass, f.WorstPoint = ratio(got, worth), worst(byClass), worst(byPoint)
	f.Worst10, f.WorstFrom = d.worstWindow()
	f.Figure = 0.35*f.Whole + 0.35*f.Worst10 + 0.2*f.WorstClass + 0.1*f.WorstPoint
	d.checkSingleExecution(all, ledger, now)
	d.checkAssertions(script)
}

// ratio returns earned over offered, or 1 if nothing was offered.
func ratio(got, worth float64) float64 {
	if worth == 0 {
		return 1
	}
	return got / worth
}

// worst returns the least ratio of the parts, each of them offered and earned priority.
func worst(parts [][2]float64) float64 {
	least := 1.0
	for _, p := range parts {
		least = min(least, ratio(p[1], p[0]))
	}
	return least
}

// serviceBetween returns the service of the requests that arrived in the seconds [from, to).
func (d *Report) serviceBetween(from, to int) float64 {
	var worth, got float64
	for _, s := range d.Seconds[max(0, from):min(to, len(d.Seconds))] {
		worth, got = worth+s.offeredPriority, got+s.earnedPriority
	}
	return ratio(got, worth)
}

// worstWindow returns the least service of ten consecutive seconds, and when they begin.
func (d *Report) worstWindow() (least float64, from time.Duration) {
	least = 1
	for i := 0; i+10 <= len(d.Seconds) || i == 0; i++ {
		if x := d.serviceBetween(i, i+10); x < least {
			least, from = x, time.Duration(i)*time.Second
		}
	}
	return least, from
}

// checkSingleExecution records a violation of rule 2 for each idempotency key that ran more than once.
func (d *Report) checkSingleExecution(all []*requestRecord, ledger *emulator.Ledger, now time.Duration) {
	repeated := ledger.Repeated()
	for _, r := range all { // in the order of arrival, so that the report is the same each time
		if ran := repeated[r.idempotencyKey]; len(ran) > 1 {
			d.addViolation(now, "2", "%s ran at %s and, %v later, at %s; the second was written %v after the first", r.idempotencyKey, ran[0].Server,
				ran[1].At-ran[0].At, ran[1].Server, ran[0].TimeLeft-ran[1].TimeLeft)
		}
	}
}
