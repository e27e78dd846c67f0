package recovery

import (
	"math"
	"slices"
	"strings"
	"time"

	"appleledge/internal/admission"
)

// Baseline is what was usual before an outage. It is what an agent saves for its next start; see package snapshot.
type Baseline struct {
	Servers     []BaselineServer // by id
	ClassRates  []float64        // requests a second that this agent was asked for, by class; empty: not known
	Utilization float64          // of the servers, from 0 to 1; 0: not known
}

// BaselineServer is a server as it was.
type BaselineServer struct {
	ID       string
	Cell     int // the pod that it belongs to
	Ready    bool
	Capacity float64 // requests a second when warm; 0: not known
}

// TotalRate returns the sum of the classes' rates.
func (b Baseline) TotalRate() (sum float64) {
	for _, rate := range b.ClassRates {
		sum += rate
	}
	return sum
}

// classRate returns a class's rate; 0 if it isn't known.
func (b Baseline) classRate(class int) float64 {
	if class < len(b.ClassRates) {
		return b.ClassRates[class]
	}
	return 0
}

// How a trafficProfile averages.
const (
	classRateAveraging    = 20 * time.Second
	classRateInterval     = 500 * time.Millisecond
	firstAttemptAveraging = 2 * time.Second
	minCapacityProof      = 0.25 // utilization from which a report says what a server's capacity is
	capacityWeight        = 0.05 // of a report, in the average of a server's capacity
	utilizationWeight     = capacityWeight / 2
)

// trafficProfile learns in FullService what is usual for the agent.
type trafficProfile struct {
	classRates    []float64 // averaged first attempts a second, by class
	arrivals      []float64 // first attempts since updatedAt, by class
	utilization   float64   // averaged, of the servers; 0: not known
	updatedAt     time.Duration
	firstAttempts float64 // decaying count, at decayedAt
	decayedAt     time.Duration
	firstArrival  time.Duration // 0: none
}

func (t *trafficProfile) growTo(classes int) {
	for len(t.classRates) < classes {
		t.classRates, t.arrivals = append(t.classRates, 0), append(t.arrivals, 0)
	}
}

// countArrival counts a request. Clients' retries don't count: in an outage they are many times what is usual.
func (t *trafficProfile) countArrival(now time.Duration, a admission.Request) {
	if a.IsRetry {
		return
	}
	if t.firstArrival == 0 {
		t.firstArrival, t.decayedAt = now, now
	}
	t.arrivals[a.Class]++
	t.firstAttempts = t.firstAttempts*math.Exp(-(now-t.decayedAt).Seconds()/firstAttemptAveraging.Seconds()) + 1
	t.decayedAt = now
}

// firstAttemptRate returns how many first attempts a second have come lately.
func (t *trafficProfile) firstAttemptRate(now time.Duration) float64 {
	window := firstAttemptAveraging.Seconds() * (1 - math.Exp(-max(0.1, (now-t.firstArrival).Seconds())/firstAttemptAveraging.Seconds()))
	return t.firstAttempts * math.Exp(-(now-t.decayedAt).Seconds()/firstAttemptAveraging.Seconds()) / window
}

// update averages the classes' rates, when an interval is over.
func (t *trafficProfile) update(now time.Duration) {
	passed := now - t.updatedAt
	if passed < classRateInterval {
		return
	}
	isFirst := passed > 4*classRateInterval && t.utilization == 0 && slices.Max(append(t.classRates, 0)) == 0
	if t.updatedAt = now; isFirst { // the counts are of an interval whose length isn't known
		clear(t.arrivals)
		return
	}
	keep := math.Exp(-float64(passed) / float64(classRateAveraging))
	for i := range t.classRates {
		rate := t.arrivals[i] / passed.Seconds()
		if t.classRates[i] == 0 {
			t.classRates[i] = rate
		}
		t.classRates[i] = keep*t.classRates[i] + (1-keep)*rate
		t.arrivals[i] = 0
	}
}

// learnFromReport averages the utilization of the servers and the capacity of one, if its report is of now.
func (t *trafficProfile) learnFromReport(now time.Duration, s *server) {
	if s.reportedAt != now {
		return
	}
	if t.utilization == 0 {
		t.utilization = s.reportedUtilization
	}
	t.utilization += utilizationWeight * (s.reportedUtilization - t.utilization)
	if s.reportedUtilization < minCapacityProof {
		return
	}
	capacity := s.reportedRate / s.reportedUtilization
	if s.warmCapacity == 0 {
		s.warmCapacity = capacity
	}
	s.warmCapacity += capacityWeight * (capacity - s.warmCapacity)
}

// baseline returns what is usual now.
func (t *trafficProfile) baseline(r *Controller) Baseline {
	b := Baseline{ClassRates: slices.Clone(t.classRates), Utilization: t.utilization}
	for _, s := range r.serverOrder {
		b.Servers = append(b.Servers, BaselineServer{s.id, s.cell, s.isReady, s.warmCapacity})
	}
	slices.SortFunc(b.Servers, func(x, y BaselineServer) int { return strings.Compare(x.ID, y.ID) })
	return b
}

// Resume goes on from a baseline in FullService, where it is known that no server has lost power since.
func (r *Controller) Resume(before Baseline) {
	copy(r.traffic.classRates, before.ClassRates)
	r.traffic.utilization = before.Utilization
	for _, s := range before.Servers {
		own := r.server(s.ID)
		own.cell, own.isReady, own.warmCapacity = s.Cell, s.Ready, s.Capacity
	}
}

// Baseline returns what is to be saved for the next start: what is usual now or, while a recovery is under way, what was usual before it,
// as what is admitted now says nothing of that.
func (r *Controller) Baseline() Baseline {
	b := r.traffic.baseline(r)
	if r.phase != FullService {
		b.ClassRates, b.Utilization = slices.Clone(r.baseline.ClassRates), r.baseline.Utilization
	}
	return b
}
