package overload

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/golden"
)

type traceServer struct {
	id       string
	capacity float64
	atWork   float64
	down     bool
	hangs    bool
}

type traceCall struct {
	agent   int
	p       *admission.Permit
	server  *traceServer
	class   int
	tenant  int
	key     string
	tries   int
	further bool
	at      time.Duration
	result  balancer.Result
}

type tracePayload struct {
	from, to int
	text     []byte
	at       time.Duration
}

// decisionTrace is four controllers before a simulated fleet of twelve servers, which exchange payloads with some delay and loss: normal load,
// then overload, servers that hang or break, an agent that dies, one that sends nonsense, and normal load again.
func decisionTrace(seed int) *golden.Trace {
	tr, rnd := golden.NewTrace(2000), golden.Random(seed)
	classes := []admission.Class{{Priority: 1, LatencyObjective: 300e6, Idempotent: true}, {Priority: 10, LatencyObjective: 400e6}, {Priority: 4, LatencyObjective: 300e6, Idempotent: true}}
	shares := []float64{0.2, 0.3, 0.5}
	alive := []bool{true, true, true, true}
	var controllers []*AdmissionController
	for i := range 4 {
		watch := admission.New(admission.Options{Classes: classes, Quotas: shares, MaxRetryAfter: time.Second, MaxRemembered: 200, Seed: uint64(seed*10 + i)})
		d := New(Options{Self: 0, Agents: 1, Classes: classes, TenantQuotas: shares, MaxRetryAfter: time.Second, Seed: uint64(seed*10 + i)}, watch)
		d.SetFleetPosition(i, 4)
		d.HandleLiveness(alive)
		controllers = append(controllers, d)
	}
	var servers []*traceServer
	for i := range 12 {
		s := &traceServer{id: "s" + strconv.Itoa(i), capacity: 40}
		servers = append(servers, s)
		for _, d := range controllers {
			d.UpdateServer(s.id, true, true)
		}
	}
	var calls, again []traceCall
	var payloads []tracePayload
	now, owed, keys := time.Hour, 0.0, 0
	mute := seed == 3 // servers that report no rate
	send := func(c traceCall) {
		c.server = servers[rnd.Below(len(servers))]
		s, d := c.server, controllers[c.agent]
		d.AttemptSent(now, s.id, c.further)
		s.atWork++
		c.result, c.at = balancer.OK, now+time.Duration(float64(rnd.Millis(20, 80))*(1+max(0, s.atWork-3)/3))
		switch {
		case s.hangs:
			c.result, c.at = balancer.TimedOut, now+900*time.Millisecond
		case s.down:
			c.result, c.at = balancer.ConnectFailed, now+rnd.Millis(1, 50)
		case s.atWork > 20:
			c.result, c.at = balancer.Rejected, now+rnd.Millis(1, 5)
		case rnd.Chance(0.01):
			c.result = balancer.Failed
		case c.at > now+time.Second:
			c.result, c.at = balancer.TimedOut, now+time.Second
		}
		calls = append(calls, c)
	}
	ask := func(c traceCall) {
		a := admission.Request{Class: c.class, Tenant: c.tenant, Key: c.key, IsRetry: c.tries > 0 && rnd.Chance(0.3), MayHaveRun: rnd.Chance(0.01), Deadline: now + rnd.Millis(50, 900)}
		p, rejection := controllers[c.agent].Arrive(now, a)
		tr.Add(now, c.agent, p == nil, rejection.RetryAfter, rejection.Limit, rejection.IsRetry)
		tr.CountIf(p == nil, "turned away")
		if p == nil {
			if c.tries++; c.tries < 3 {
				c.at = now + rejection.RetryAfter + rnd.Millis(1, 50)
				c.agent = rnd.Below(4)
				again = append(again, c)
			}
			return
		}
		_, _, by := p.Completion(now)
		tr.Add(p.IsRetry, p.MayHaveRun, int(by))
		tr.Count("let in on account " + strconv.Itoa(int(by)))
		c.p = p
		send(c)
	}
	rates := []float64{150, 300, 900, 1200, 700, 300, 200, 600, 1000, 150}
	for step := range 4000 {
		now += 10 * time.Millisecond
		switch step {
		case 1200, 1320: // all hang, and go on
			for _, s := range servers {
				s.hangs = step == 1200
			}
		case 1900:
			servers[3].hangs, servers[4].down = true, true
		case 2300:
			servers[3].hangs, servers[4].down = false, false
			alive[3] = false
			for _, d := range controllers {
				d.HandleLiveness(slices.Clone(alive))
			}
		case 2600:
			for _, d := range controllers {
				d.UpdateServer("s5", false, false)
				d.UpdateServer("s6", true, false)
				d.UpdateServer("new", true, true)
			}
		case 2900:
			alive[3] = true
			for _, d := range controllers {
				d.HandleLiveness(slices.Clone(alive))
			}
		case 3100: // a claim beyond all bounds
			b := Payload{Digests: []LoadDigest{{Agent: 2, NewRequests: []float64{9000, 9000, 9000}, ClientRetries: []float64{1, 1, 1}, Tenants: []float64{5, 5, 9000}, Requests: 30000, Admitted: 10}},
				Reports: []LoadReport{{Server: ServerID("s1"), Utilization: 1, Capacity: 4000}}, Observations: []Observation{{Server: ServerID("s2"), Agent: 2}}}
			payloads = append(payloads, tracePayload{from: 2, to: 0, text: b.appendTo(nil), at: now}, tracePayload{from: 2, to: 1, text: []byte{0, 9, 9}, at: now},
				tracePayload{from: 1, to: 1, text: b.appendTo(nil), at: now})
		case 3700:
			for _, d := range controllers {
				d.Retune(append(slices.Clone(classes), admission.Class{Priority: 2, LatencyObjective: 200e6}))
			}
		}
		rest := payloads[:0:0]
		for _, b := range payloads {
			if b.at > now {
				rest = append(rest, b)
				continue
			}
			err := controllers[b.to].HandlePayload(now, b.from, b.text)
			tr.CountIf(err == nil, "bodies taken")
			tr.CountIf(err != nil, "bodies that are none")
		}
		payloads = rest
		ended := []traceCall{}
		calls = slices.DeleteFunc(calls, func(c traceCall) bool {
			if c.at <= now {
				ended = append(ended, c)
			}
			return c.at <= now
		})
		for _, c := range ended {
			c.server.atWork--
			rep := balancer.NoReport
			if c.result == balancer.OK && rnd.Chance(0.9) {
				rep.Utilization = min(1, 0.05+c.server.atWork/6)
				if rep.ServedRate = rep.Utilization * c.server.capacity; mute {
					rep.ServedRate = -1
				}
			}
			d := controllers[c.agent]
			d.AttemptEnded(now, c.server.id, c.result, rep)
			tr.Count("ends of result " + strconv.Itoa(int(c.result)))
			switch {
			case c.result == balancer.OK:
				d.Done(now, c.p, admission.OutcomeServed)
			case !c.further && d.AllowsRetry(now):
				tr.Count("further attempts")
				tr.Add(now, "further")
				c.further = true
				send(c)
			case c.result == balancer.Rejected:
				d.Done(now, c.p, admission.OutcomeRejected)
			default:
				d.Done(now, c.p, admission.OutcomeFailed)
			}
		}
		due := []traceCall{}
		again = slices.DeleteFunc(again, func(c traceCall) bool {
			if c.at <= now {
				due = append(due, c)
			}
			return c.at <= now
		})
		for _, c := range due {
			ask(c)
		}
		for owed += rates[step/400] * 0.01 * 2 * rnd.Share(); owed >= 1; owed-- {
			keys++
			c := traceCall{agent: rnd.Below(4), class: rnd.Below(3), tenant: rnd.Below(4) - 1}
			if rnd.Chance(0.4) {
				c.tenant = 0
			}
			if rnd.Chance(0.7) {
				c.key = "k" + strconv.Itoa(keys)
			}
			ask(c)
		}
		for i, d := range controllers {
			if step%2 == i%2 || !alive[i] {
				continue
			}
			if text, to := d.NextPayload(now, 400); text != nil {
				tr.Add(now, i, to, string(text))
				tr.Count("bodies told to " + strconv.Itoa(to))
				for range to {
					other := (i + 1 + rnd.Below(3)) % 4
					if rnd.Chance(0.9) && (step <= 3300 || step >= 3500) { // no payload at all for 2 s
						payloads = append(payloads, tracePayload{i, other, text, now + rnd.Millis(1, 40)})
					}
				}
			}
			if excluded := d.ExcludedServers(now); step%5 == 0 && excluded != nil {
				tr.Add(now, i, excluded)
				tr.Count("looks that hold servers out")
			}
			if step%20 < 2 {
				st := d.Status(now)
				tr.Add(now, i, st.Trust, st.Limit, st.Capacity, st.Utilization, st.Gain, st.RejectedRatio, st.Excluded, st.Demand.Requests, st.Demand.Admitted, st.Demand.InFlight,
					st.Demand.ExtraAttempts, st.Demand.ServedInTime, st.Demand.LateOrFailed, st.Demand.KnownAgents, st.Demand.AliveAgents, st.Counts.DecidedLocally, st.Counts.PastDeadline, st.Counts.RejectedRetries,
					st.Counts.PayloadsSent, st.Counts.View.Digests, st.Counts.View.Reports, st.Counts.View.Observations, st.Counts.View.Capped,
					st.Counts.View.Malformed)
				for _, x := range slices.Concat(st.AdmitProbabilities, st.Demand.NewRequests, st.Demand.ClientRetries, st.Demand.Tenants) {
					tr.Add(x)
				}
				for _, x := range st.Counts.Rejected {
					tr.Add(x[0], x[1])
					tr.CountIf(x[0] > 0, "looks after a first try was refused for the fleet")
					tr.CountIf(x[1] > 0, "looks after a repeat was refused for the fleet")
				}
				tr.CountIf(st.Limit > 0, "looks at a limit")
				tr.CountIf(st.Trust > 0 && st.Trust < 1, "looks at trust in part")
				tr.CountIf(st.Trust == 1, "looks at full trust")
				tr.CountIf(st.Gain != 1, "looks at a corrected limit")
				tr.CountIf(st.Counts.PastDeadline > 0, "looks after a late one")
				tr.CountIf(st.Counts.RejectedRetries > 0, "looks after an attempt was not sent")
				tr.CountIf(st.Counts.View.Capped > 0, "looks after a claim was bounded")
				tr.CountIf(st.Counts.View.Observations > 0, "looks after a voice")
			}
		}
	}
	return tr
}

// The decisions of a seeded run are committed as a hash: not one of them may change.
func TestDecisionsStayEqual(t *testing.T) {
	var traces []*golden.Trace
	for seed := 1; seed <= 3; seed++ {
		tr := decisionTrace(seed)
		traces = append(traces, tr)
		golden.Equal(t, fmt.Sprint("decisions/share-seed-", seed), tr.Text())
	}
	golden.Occurred(t, traces, "turned away", "let in on account 0", "let in on account 1", "bodies taken", "bodies that are none", "bodies told to 1",
		"bodies told to 2", "further attempts", "ends of result 0", "ends of result 1", "ends of result 2", "ends of result 3", "ends of result 4",
		"looks that hold servers out", "looks after a first try was refused for the fleet", "looks after a repeat was refused for the fleet",
		"looks at a limit", "looks at trust in part", "looks at full trust", "looks at a corrected limit", "looks after a late one",
		"looks after an attempt was not sent", "looks after a claim was bounded", "looks after a voice")
}
