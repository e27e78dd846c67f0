package recovery

import (
	"math"
	"slices"
	"strings"
	"time"

	"appleledge/internal/admission"
)

// Before is what an agent knew before: the part of what is kept that a Recovery goes by.
type Before struct {
	Servers []BeforeServer
	Usual   []float64 // requests a second that it was served, by class; none where it is not known
	Use     float64   // how busy servers were, from 0 to 1; 0: not known
}

// BeforeServer is a server as it was.
type BeforeServer struct {
	ID       string
	Cell     int
	Ready    bool
	Capacity float64 // requests a second when warm; 0: not known
}

// Rate is the sum over the classes.
func (b Before) Rate() (sum float64) {
	for _, x := range b.Usual {
		sum += x
	}
	return sum
}

func (b Before) usual(class int) float64 {
	if class < len(b.Usual) {
		return b.Usual[class]
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

// Habits are what is usual for an agent: what a recovery goes by, later.
type Habits struct {
	usual  []float64 // requests a second, by class
	counts []float64 // since the last look
	use    float64
	looked time.Duration
	firsts float64 // first tries lately, fading
	at     time.Duration
	start  time.Duration
}

func (h *Habits) classes(n int) {
	for len(h.usual) < n {
		h.usual, h.counts = append(h.usual, 0), append(h.counts, 0)
	}
}

// asked counts an arrival.
func (h *Habits) asked(now time.Duration, a admission.Request) {
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
func (h *Habits) askedRate(now time.Duration) float64 {
	over := askedTime.Seconds() * (1 - math.Exp(-max(0.1, (now-h.start).Seconds())/askedTime.Seconds()))
	return h.firsts * math.Exp(-(now-h.at).Seconds()/askedTime.Seconds()) / over
}

// look averages the rates of first tries, in calm.
func (h *Habits) look(now time.Duration) {
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
func (h *Habits) reported(now time.Duration, s *server) {
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
func (h *Habits) before(r *Recovery) Before {
	b := Before{Usual: slices.Clone(h.usual), Use: h.use}
	for _, s := range r.servers {
		b.Servers = append(b.Servers, BeforeServer{s.id, s.cell, s.ready, s.capacity})
	}
	slices.SortFunc(b.Servers, func(x, y BeforeServer) int { return strings.Compare(x.ID, y.ID) })
	return b
}

// Resume goes on with what is known from before, where it is known that nothing has lost power since.
func (r *Recovery) Resume(before Before) {
	copy(r.habits.usual, before.Usual)
	r.habits.use = before.Use
	for _, s := range before.Servers {
		own := r.server(s.ID)
		own.cell, own.ready, own.capacity = s.Cell, s.Ready, s.Capacity
	}
}

// Before is what is to be kept: what is usual, or, while a recovery is under way, what that goes by.
func (r *Recovery) Before() Before {
	b := r.habits.before(r)
	if r.phase != Full {
		b.Usual, b.Use = slices.Clone(r.base.Usual), r.base.Use
	}
	return b
}
