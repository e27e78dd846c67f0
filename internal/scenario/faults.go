package scenario

import (
	"slices"
	"time"

	"appleledge/internal/emulator"
)

// injectFaults applies the fault of an event to its servers for the given duration.
func (r *scenarioRun) injectFaults(e Event, lasts time.Duration) {
	add := func(list *[]float64) (undo func()) {
		*list = append(*list, e.Factor)
		return func() {
			i := slices.Index(*list, e.Factor)
			*list = slices.Delete(*list, i, i+1)
		}
	}
	count := func(n *int) (undo func()) {
		*n++
		return func() { *n-- }
	}
	for _, s := range r.selectServers(e) {
		var undo func()
		s.changeFaults(func(x *faultSet) {
			switch e.Type {
			case "hang":
				undo = count(&x.hung)
			case "pause":
				undo = count(&x.paused)
			case "partition":
				undo = count(&x.partitioned)
			case "throttle":
				undo = add(&x.throttle)
			case "fast_errors":
				undo = add(&x.errors)
			case "reset":
				undo = add(&x.reset)
			case "spoil":
				undo = add(&x.corrupt)
			case "read_stall":
				undo = count(&x.readStalls)
			}
		})
		r.scheduleAfter(lasts, func() { s.changeFaults(func(*faultSet) { undo() }) })
	}
}

// faultSet is the faults in effect on a server. Faults of one type may overlap: counts say how many hold, lists hold one ratio
// each.
type faultSet struct {
	hung, paused, partitioned int
	readStalls                int
	throttle                  []float64
	errors                    []float64
	reset                     []float64
	corrupt                   []float64
}

// writeTo sets the emulator's faults to what the set amounts to.
func (e faultSet) writeTo(f *emulator.Faults) {
	f.Hung, f.Paused, f.Throttle, f.Errors = e.hung > 0, e.paused > 0, 0, 0
	if len(e.throttle) > 0 {
		f.Throttle = 1
	}
	for _, x := range e.throttle {
		f.Throttle *= x
	}
	f.Errors = probabilityOfAny(e.errors)
}

// probabilityOfAny returns the probability that at least one of several independent events happens.
func probabilityOfAny(chances []float64) float64 {
	none := 1.0
	for _, x := range chances {
		none *= 1 - x
	}
	return 1 - none
}
