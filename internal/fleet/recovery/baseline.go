package recovery

import (
	"math"
	"slices"
	"strings"
	"time"

	"appleledge/internal/admission"
)

// Baseline is what an agent knew before: the part of what is kept that a Recovery goes by.
type Baseline struct {
	Servers     []BaselineServer
	ClassRates  []float64 // requests a second that it was served, by class; none where it is not known
	Utilization float64   // how busy servers were, from 0 to 1; 0: not known
}

// BaselineServer is a server as it was.
type BaselineServer struct {
	ID       string
	Cell     int
	Ready    bool
	Capacity float64 // requests a second when warm; 0: not known
}

// AdmissionRate is the sum over the classes.
func (b Baseline) TotalRate() (sum float64) {
	for _, x := range b.ClassRates {
		sum += x
	}
	return sum
}

func (b Baseline) usual(class int) float64 {
	if class < len(b.ClassRates) {
		return b.ClassRates[class]
	}
	return 0
}

const (
	habitTime   = 20 * time.Second       // over which rates are averaged
	habitLook   = 500 * time.Millisecond // between two looks
	useSure     = 0.25                   // use from which a report tells a capacity for certain
	habitWeight = 0.05                   // of a report in a capacity
	askedTime   = 2 * time.Second        // over which first tries are averaged, where nothing is known
)

// trafficProfile are what is usual for an agent: what a recovery goes by, later.
type trafficProfile struct {
	usual  []float64 // requests a second, by class
	counts []float64 // since the last look
	use    float64
	looked time.Duration
	firsts float64 // first tries lately, fading
	at     time.Duration
	start  time.Duration
}

func (h *trafficProfile) classes(n int) {
	for len(h.usual) < n {
		h.usual, h.counts = append(h.usual, 0), append(h.counts, 0)
	}
}

// asked counts an arrival.
func (h *trafficProfile) asked(now time.Duration, a admission.Request) {
	if a.IsRetry {
		return
	}
	if h.start == 0 {
		h.start, h.at = now, now
	}
	h.counts[a.Class]++
	h.firsts = h.firsts*math.Exp(-(now-h.at).Seconds()/askedTime.Seconds()) + 1
	h.at = now
}

// askedRate is how many first tries come a second.
func (h *trafficProfile) askedRate(now time.Duration) float64 {
	over := askedTime.Seconds() * (1 - math.Exp(-max(0.1, (now-h.start).Seconds())/askedTime.Seconds()))
	return h.firsts * math.Exp(-(now-h.at).Seconds()/askedTime.Seconds()) / over
}

// look averages the rates of first tries, in calm.
func (h *trafficProfile) look(now time.Duration) {
	passed := now - h.looked
	if passed < habitLook {
		return
	}
	if h.looked = now; passed > 4*habitLook && h.use == 0 && slices.Max(append(h.usual, 0)) == 0 {
		clear(h.counts) // the first look
		return
	}
	keep := math.Exp(-float64(passed) / float64(habitTime))
	for i := range h.usual {
		rate := h.counts[i] / passed.Seconds()
		if h.usual[i] == 0 {
			h.usual[i] = rate
		}
		h.usual[i] = keep*h.usual[i] + (1-keep)*rate
		h.counts[i] = 0
	}
}

// reported learns from a server's report, in calm.
func (h *trafficProfile) reported(now time.Duration, s *server) {
	if s.asOf != now {
		return
	}
	if h.use == 0 {
		h.use = s.use
	}
	h.use += habitWeight / 2 * (s.use - h.use)
	if s.use < useSure {
		return
	}
	c := s.rate / s.use
	if s.capacity == 0 {
		s.capacity = c
	}
	s.capacity += habitWeight * (c - s.capacity)
}

// before is what is usual, as what a recovery goes by.
func (h *trafficProfile) before(r *Controller) Baseline {
	b := Baseline{ClassRates: slices.Clone(h.usual), Utilization: h.use}
	for _, s := range r.servers {
		b.Servers = append(b.Servers, BaselineServer{s.id, s.cell, s.ready, s.capacity})
	}
	slices.SortFunc(b.Servers, func(x, y BaselineServer) int { return strings.Compare(x.ID, y.ID) })
	return b
}

// Resume goes on with what is known from before, where it is known that nothing has lost power since.
func (r *Controller) Resume(before Baseline) {
	copy(r.habits.usual, before.ClassRates)
	r.habits.use = before.Utilization
	for _, s := range before.Servers {
		own := r.server(s.ID)
		own.cell, own.ready, own.capacity = s.Cell, s.Ready, s.Capacity
	}
}

// Baseline is what is to be kept: what is usual, or, while a recovery is under way, what that goes by.
func (r *Controller) Baseline() Baseline {
	b := r.habits.before(r)
	if r.phase != FullService {
		b.ClassRates, b.Utilization = slices.Clone(r.base.ClassRates), r.base.Utilization
	}
	return b
}
