package recovery

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/golden"
)

type tracePod struct {
	id      string
	cell    int
	up      bool
	hangs   bool
	started time.Duration
	use     float64
}

type traceTry struct {
	p   *admission.Permit
	pod *tracePod
	at  time.Duration
	end admission.Outcome
}

// decisionTrace is a simulated fleet of twelve servers that loses power, returns server by server and restarts as a whole; meanwhile the
// agent restarts with a baseline, without one, and resumes. Rates and ratios are rounded here: the Controller adds them up over a map in
// random order, on which their last bits depend.
func decisionTrace(seed int) *golden.Trace {
	tr, rnd := golden.NewTrace(1000), golden.Random(seed)
	classes := []Class{{Name: "a", Priority: 1, LatencyObjective: 300e6, Idempotent: true}, {Name: "b", Priority: 10, LatencyObjective: 400e6}, {Name: "c", Priority: 4, LatencyObjective: 300e6, Idempotent: true}}
	watched := []admission.Class{{Priority: 1, LatencyObjective: 300e6, Idempotent: true}, {Priority: 10, LatencyObjective: 400e6}, {Priority: 4, LatencyObjective: 300e6, Idempotent: true}}
	make := func(askFor time.Duration) *Controller {
		var behind Admitter
		if seed > 1 {
			behind = admission.New(admission.Options{Classes: watched, MaxRetryAfter: time.Second, MaxRemembered: 100, Seed: uint64(seed)})
		}
		return New(Options{Classes: classes, Agents: 3, Self: 1, ColdCapacityRatio: 0.25, WarmupTime: 4 * time.Second, ColdOverloadFactor: float64(seed % 3 * 2),
			MaxRetryAfter: time.Second, PeerPollTime: askFor, Seed: uint64(seed)}, behind)
	}
	r := make(0)
	pods := []*tracePod{}
	now, was := time.Hour, FullService
	updateServer := func(s *tracePod, start time.Duration) {
		r.UpdateServer(now, Server{ID: s.id, Cell: s.cell, Ready: true, Started: start}, true)
	}
	for i := range 12 {
		pods = append(pods, &tracePod{id: "s" + strconv.Itoa(i), cell: i / 3, up: true, use: 0.5})
		updateServer(pods[i], 0)
	}
	r.ListApplied(now)
	var inFlight []traceTry
	rejectedClasses := map[int]bool{}
	ask := func() {
		a := admission.Request{Class: rnd.Below(3), Tenant: -1, IsRetry: rnd.Chance(0.2), MayHaveRun: rnd.Chance(0.02), Deadline: now + time.Second}
		if rnd.Chance(0.5) {
			a.Key = "k" + strconv.Itoa(rnd.Below(500))
		}
		p, rejection := r.Arrive(now, a)
		tr.Add(now, p == nil, rejection.RetryAfter, rejection.Limit, rejection.IsRetry)
		if p == nil {
			rejectedClasses[a.Class] = true
			tr.Count("turned away")
			return
		}
		_, _, by := p.Completion(now)
		tr.Add(p.Endpoints, p.IsRetry, p.MayHaveRun, int(by))
		tr.Count("let in")
		pod := pods[rnd.Below(len(pods))]
		if p.Endpoints != nil {
			tr.Count("trials")
			for _, s := range pods {
				if s.id == p.Endpoints[0] {
					pod = s
				}
			}
		}
		x := traceTry{p: p, pod: pod, at: now + rnd.Millis(10, 90), end: admission.OutcomeServed}
		switch {
		case !pod.up && pod.hangs:
			x.at, x.end = now+rnd.Millis(500, 900), admission.OutcomeCanceled
		case !pod.up, rnd.Chance(0.01):
			x.end = admission.OutcomeFailed
		case now-pod.started < time.Second && rnd.Chance(0.3):
			x.at = now + rnd.Millis(300, 900)
		}
		inFlight = append(inFlight, x)
	}
	power := func(s *tracePod, up bool) {
		s.up = up
		if s.hangs = !up && rnd.Chance(0.3); up {
			s.started = now
		}
	}
	owed := 0.0
	for step := range 6000 {
		now += 10 * time.Millisecond
		switch {
		case step == 900: // power is lost
			for _, s := range pods {
				power(s, false)
			}
			r.SetLiveAgents([]bool{true, true, seed == 1})
		case step > 1000 && step < 1300 && step%20 == 0: // and comes back
			power(pods[step/20%12], true)
		case step > 1400 && step < 1700 && step%20 == 0:
			s := pods[step/20%12]
			updateServer(s, s.started)
			r.ListApplied(now)
		case step == 2500: // all restart at once
			for _, s := range pods {
				power(s, true)
				updateServer(s, now)
			}
			r.ListApplied(now)
		case step == 3300: // the agent restarts, and does not know what has become of the fleet
			before := r.Baseline()
			r = make(500 * time.Millisecond)
			r.Start(now, before, "restart")
			for i, s := range pods {
				power(s, i%4 != 0 && seed != 2)
			}
		case step == 3400:
			for _, s := range pods[:6] {
				r.PeerReportsResponding(now, s.id)
			}
		case step == 3700:
			for _, s := range pods {
				s.up = true
				r.UpdateServer(now, Server{ID: s.id, Cell: s.cell, Ready: true}, false)
			}
		case step == 4300: // with nothing
			r = make(0)
			r.Start(now, Baseline{}, "restart")
		case step == 4400:
			for _, s := range pods {
				power(s, true)
				updateServer(s, now)
			}
			r.ListApplied(now)
		case step == 5200: // and with all that it knew
			before := r.Baseline()
			r = make(0)
			r.Resume(before)
			r.UpdateServer(now, Server{ID: "s1", Gone: true}, true)
			updateServer(pods[1], 0)
			r.Retune([]admission.Class{watched[0], {Priority: 0.5, LatencyObjective: 400e6}, watched[2], {Priority: 3, LatencyObjective: 300e6, Idempotent: true}})
		case step == 5300:
			r = make(0)
			r.Start(now, Baseline{}, "restart")
		case step == 5350: // warm servers
			for _, s := range pods {
				updateServer(s, 0)
			}
			r.ListApplied(now)
		}
		rest := inFlight[:0:0]
		for _, x := range inFlight {
			if x.at > now {
				rest = append(rest, x)
				continue
			}
			r.Done(now, x.p, x.end)
			use, rate := -1.0, -1.0
			if x.pod.up && rnd.Chance(0.9) {
				use = []float64{0.5, 0.5, 0.75, 0.25}[step/800%4]
				rate = use * 64
			}
			if x.end != admission.OutcomeCanceled {
				r.ObserveAttempt(now, x.pod.id, x.pod.up, !x.pod.up, rate, use)
			}
		}
		inFlight = rest
		for owed += 4 * rnd.Share(); owed >= 1; owed-- {
			ask()
		}
		if moved := r.TakeStartChanges(); moved != nil {
			tr.Add(now, moved)
			tr.Count("moved")
		}
		if found := r.TakeResponding(); found != nil {
			tr.Add(now, found)
			tr.Count("found")
		}
		if step%7 == 0 {
			s := pods[rnd.Below(12)]
			may := r.AllowsRetryIn(s.cell, now-rnd.Millis(0, 3000))
			tr.Add(now, may, r.EffectiveStart(s.id, s.started), r.EffectiveStart("unknown", 5))
			tr.CountIf(may, "may be repeated")
			tr.CountIf(!may, "may not be repeated")
		}
		st := r.Status(now)
		if st.Phase != was {
			tr.Count(fmt.Sprintf("from phase %d to %d", int(was), int(st.Phase)))
			was = st.Phase
		}
		if step%10 == 0 {
			tr.Add(now, int(st.Phase), st.Since, rounded(st.AdmissionRate), rounded(st.WarmCapacityRatio), st.Servers, st.RespondingServers, st.Counts.Recoveries, st.Counts.Trials, st.Counts.FailedTrials)
			for i := range st.Counts.Rejected {
				tr.Add(st.Counts.Rejected[i], st.Counts.Admitted[i])
			}
			tr.CountIf(st.Counts.FailedTrials > 0, "looks after a trial in vain")
			b := r.Baseline()
			tr.Add(b.Utilization, len(b.Servers))
			for _, x := range b.ClassRates {
				tr.Add(x)
			}
			if step%500 == 0 {
				for _, s := range b.Servers {
					tr.Add(s.ID, s.Cell, s.Ready, s.Capacity)
				}
			}
		}
	}
	kinds := []int{}
	for class := range rejectedClasses {
		kinds = append(kinds, class)
	}
	slices.Sort(kinds)
	for _, class := range kinds {
		tr.Count("turned away of class " + strconv.Itoa(class))
	}
	return tr
}

// rounded is a sum whose last bits are random. Nine digits end in no tie here: times are in steps of 10 ms.
func rounded(x float64) string { return strconv.FormatFloat(x, 'g', 9, 64) }

// The decisions of a seeded run are committed as a hash: not one of them may change.
func TestDecisionsStayEqual(t *testing.T) {
	var traces []*golden.Trace
	for seed := 1; seed <= 3; seed++ {
		tr := decisionTrace(seed)
		traces = append(traces, tr)
		golden.Equal(t, fmt.Sprint("decisions/recovery-seed-", seed), tr.Text())
	}
	golden.Occurred(t, traces, "let in", "turned away", "trials", "moved", "found", "may be repeated", "may not be repeated",
		"looks after a trial in vain", "from phase 0 to 3", "from phase 3 to 4", "from phase 4 to 5", "from phase 5 to 0", "from phase 0 to 2",
		"from phase 2 to 4", "from phase 0 to 4", "from phase 5 to 4", "from phase 0 to 1", "from phase 1 to 3", "from phase 1 to 0",
		"turned away of class 0", "turned away of class 1", "turned away of class 2")
}
