package balancer_test

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"hash"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/golden"
)

// The trace of decisions: seeded events go through a Balancer, toy servers answer what it sends, and every action with its
// time goes into a hash that is committed. One draw more or in another order, or one constant that is off, changes it. What
// goes into the hash is numbers and strings, so that names may change and the hash may not.

// The names of the trace's own for what it counts, by the numbers of the module.
var (
	traceKinds   = [...]string{"send", "cancel", "refuse", "fail", "set timer", "probe", "subscribe", "tell"}
	traceReasons = [...]string{"overload", "withheld", "no server", "no budget", "spent"}
)

type traceCase struct {
	servers, seed                                      int
	events                                             int
	balancers                                          int
	keyAffinity, hedging, weights, noReports, overload bool
	calm                                               bool // the servers are healthy and known, all the time
	blackouts                                          bool // at times no server answers
	lastingFaults                                      bool // some servers are faulty for good, and the list can't be had for long
	perSecond                                          int
}

// traceServer is a toy server: it works on slots requests at full speed, longer on more, and rejects what is far too much.
type traceServer struct {
	entry    balancer.Server
	base     time.Duration
	slots    float64
	mode     int
	inFlight float64            // requests of this balancer at work
	reports  [4]balancer.Report // the latest reports, taken at intervals: answers carry old ones too
	reportAt time.Duration
}

// The modes of a toy server.
const (
	traceHealthy = iota
	traceFails
	traceSlow
	traceHangs
	traceRejects
	traceUnreachable
	traceBreaks
	traceModes
)

type traceAttempt struct {
	server     *traceServer
	sent       time.Duration
	isInFlight bool
}

type traceRequest struct {
	ev            balancer.Request
	clientRetries int
	attempts      []*traceAttempt
	closed        bool
	mayHaveRun    *traceAttempt
}

type traceEvent struct {
	at  time.Duration
	seq int
	run func()
}

type traceQueue []traceEvent

func (q traceQueue) Len() int { return len(q) }
func (q traceQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q traceQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *traceQueue) Push(x any)   { *q = append(*q, x.(traceEvent)) }
func (q *traceQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

type trace struct {
	traceCase
	b                *balancer.Balancer
	rnd              golden.Random
	at               time.Duration
	queue            traceQueue
	seq, ids         int
	handled          int
	digest           hash.Hash
	line             []byte
	marks            []string
	servers          []*traceServer
	byID             map[string]*traceServer
	requests         map[string]*traceRequest
	ejected          map[string]bool
	background       float64
	classes          []balancer.Class
	classesUpdatedAt time.Duration
	surgeUntil       time.Duration // more is asked until then
	names            int
	counts           map[string]int
}

func (x *trace) after(d time.Duration, run func()) {
	x.seq++
	heap.Push(&x.queue, traceEvent{x.at + max(d, 0), x.seq, run})
}

// feed adds the actions to the hash, field by field, and carries them out.
func (x *trace) feed(actions []balancer.Action) {
	// The actions hold until the next call: what follows from them is put into the queue, none is handled in here.
	for _, a := range actions {
		l := x.line[:0]
		for _, n := range []int64{int64(x.at), int64(a.Kind), int64(a.Attempt), int64(a.Reason), int64(a.After), int64(a.Token)} {
			l = append(strconv.AppendInt(l, n, 10), ' ')
		}
		l = strconv.AppendBool(l, a.WarmingUp)
		l = strconv.AppendQuote(l, a.Request)
		l = strconv.AppendQuote(l, a.Server)
		l = strconv.AppendQuote(l, string(a.Data))
		l = append(l, '\n')
		x.digest.Write(l)
		x.line = l
		x.counts["action "+traceKinds[a.Kind]]++
		switch a.Kind {
		case balancer.Send:
			x.sent(a.Request, a.Server, a.After, a.WarmingUp)
		case balancer.Reject, balancer.Fail:
			x.counts[traceKinds[a.Kind]+" for "+traceReasons[a.Reason]]++
			x.finish(a.Request, a.After)
		case balancer.SetTimer:
			token := a.Token
			x.after(a.After, func() { x.handle(balancer.TimerFired{Token: token}) })
		case balancer.Subscribe:
			x.after(x.rnd.Millis(5, 50), x.subscribed)
		}
	}
}

func (x *trace) handle(ev balancer.Event) {
	x.feed(x.b.Handle(x.at, ev))
	x.handled++
	if x.handled%16 == 0 {
		now := x.b.Ejected()
		for id := range now {
			if !x.ejected[id] {
				x.counts["ejections seen"]++
			}
		}
		x.ejected = now
		if p := x.b.Stats(); p.ShedRatio > 0 {
			x.counts["looks that saw shedding"]++
		}
	}
	if x.handled%1000 == 0 {
		x.mark()
	}
}

// mark adds what the balancer believes to the hash and keeps the hash so far.
func (x *trace) mark() {
	p := x.b.Stats()
	for _, f := range []float64{p.Utilization, p.LatencyRatio, p.InFlightLatencyRatio, p.ShedRatio, p.PeakServedRate} {
		fmt.Fprintf(x.digest, "%016x ", math.Float64bits(f))
	}
	fmt.Fprintf(x.digest, "%d %d %d\n", p.SubsetSize, p.WarmingUp, p.Ejected)
	out := x.b.InFlight()
	for _, id := range sortedKeys(out) {
		fmt.Fprintf(x.digest, "%q %d\n", id, out[id])
	}
	for _, id := range sortedKeys(x.b.Ejected()) {
		fmt.Fprintf(x.digest, "%q\n", id)
	}
	x.marks = append(x.marks, fmt.Sprintf("after %d events %x", x.handled, x.digest.Sum(nil)))
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// load is the use of a server's slots by this balancer and all others.
func (x *trace) load(s *traceServer) float64 { return x.background + s.inFlight/s.slots }

func (x *trace) report(s *traceServer) balancer.Report {
	if x.at >= s.reportAt {
		copy(s.reports[1:], s.reports[:3])
		r := balancer.NoReport
		r.Utilization = min(1, x.load(s))
		r.ServedRate = r.Utilization * s.slots / s.base.Seconds()
		r.ErrorRate, r.InFlight, r.QueueLength = 0, s.inFlight, max(0, s.inFlight-s.slots)
		s.reports[0], s.reportAt = r, x.at+50*time.Millisecond
	}
	switch n := x.rnd.Below(20); {
	case x.noReports || n == 0:
		return balancer.NoReport
	case n == 1:
		r := s.reports[0]
		r.Utilization = math.NaN()
		return r
	case n < 6: // an old one
		return s.reports[n-2]
	}
	return s.reports[0]
}

// sent lets a toy server work on an attempt and sees to its end.
func (x *trace) sent(id, server string, limit time.Duration, cold bool) {
	r, s := x.requests[id], x.byID[server]
	n := len(r.attempts)
	for _, a := range r.attempts {
		if a.isInFlight {
			x.counts["second copies"]++
			break
		}
	}
	if n > 0 {
		x.counts["further attempts"]++
	}
	if cold {
		x.counts["sends to cold servers"]++
	}
	a := &traceAttempt{server: s, sent: x.at, isInFlight: true}
	r.attempts = append(r.attempts, a)
	s.inFlight++
	x.counts["sends by effect "+strconv.Itoa(int(x.classes[r.ev.Class].Effect))]++
	load := x.load(s)
	took := time.Duration(float64(s.base) * (0.5 + x.rnd.Share()) * (1 + 6*max(0, load-0.8)))
	if x.rnd.Chance(0.02) {
		took *= 12 // a costly request
	}
	result := balancer.OK
	switch mode := s.mode; {
	case load > 2.2 && x.rnd.Chance(0.7):
		result, took = balancer.Rejected, x.rnd.Millis(1, 3)
	case mode == traceFails && x.rnd.Chance(0.9), x.rnd.Chance(0.01):
		result, took = balancer.Failed, x.rnd.Millis(2, 30)
	case mode == traceSlow:
		took *= 15
	case mode == traceHangs:
		took = time.Hour
	case mode == traceRejects && x.rnd.Chance(0.9):
		result, took = balancer.Rejected, x.rnd.Millis(1, 5)
	case mode == traceUnreachable:
		result, took = balancer.ConnectFailed, x.rnd.Millis(10, 60)
	case mode == traceBreaks && x.rnd.Chance(0.8):
		result, took = balancer.Reset, x.rnd.Millis(5, 50)
	}
	if x.rnd.Chance(0.002) {
		result, took = balancer.NotSent, 0
	}
	if limit == 0 {
		limit = r.ev.Deadline - x.at
	}
	if r.ev.StreamsBody {
		written := x.rnd.Millis(10, 150)
		if x.rnd.Chance(0.8) {
			x.after(written, func() {
				if a.isInFlight && !r.closed {
					r.ev.Deadline = x.at + time.Second
					x.counts["uploads written"]++
					x.handle(balancer.BodySent{Request: id, Attempt: n, Deadline: r.ev.Deadline})
				}
			})
		}
		took, limit = took+written, limit+time.Second
	}
	if took > limit {
		result, took = balancer.TimedOut, limit
	}
	if result == balancer.OK && x.rnd.Chance(0.05) {
		x.after(took/2, func() {
			if a.isInFlight && !r.closed {
				r.closed = true
				x.counts["streamed answers"]++
				x.handle(balancer.ResponseStarted{Request: id, Attempt: n})
			}
		})
	}
	x.after(took, func() { x.end(r, n, result) })
	if s.entry.State == balancer.Removed && x.rnd.Chance(0.5) {
		x.after(took/3, func() { x.end(r, n, balancer.Reset) })
	}
}

func (x *trace) end(r *traceRequest, n int, result balancer.Result) {
	a := r.attempts[n]
	if !a.isInFlight {
		if x.rnd.Chance(0.05) { // told twice, which is passed over
			x.handle(balancer.Outcome{Request: r.ev.ID, Attempt: n, Server: a.server.entry.ID, Result: result, Report: balancer.NoReport})
		}
		return
	}
	a.isInFlight = false
	a.server.inFlight--
	x.counts["outcomes of result "+strconv.Itoa(int(result))]++
	if result == balancer.Failed || result == balancer.TimedOut || result == balancer.Reset || result == balancer.Cancelled {
		r.mayHaveRun = a
	}
	rep := balancer.NoReport
	if result == balancer.OK || result == balancer.Failed || result == balancer.Rejected {
		rep = x.report(a.server)
	}
	served := result == balancer.OK && !r.closed
	r.closed = r.closed || served
	x.handle(balancer.Outcome{Request: r.ev.ID, Attempt: n, Server: a.server.entry.ID, Result: result, Latency: x.at - a.sent,
		RequestClosed: r.closed, Report: rep})
	if served {
		x.withdraw(r)
	}
	if r.ev.ManualRetry && !r.closed {
		switch y := x.rnd.Below(10); {
		case y < 7:
			x.counts["attempts asked for"]++
			x.handle(balancer.Retry{Request: r.ev.ID, AllowedServers: x.allowedServers(0.5)})
		case y < 9:
			x.disconnect(r)
		}
	}
}

// withdraw ends the attempts that are still out of a request that is over.
func (x *trace) withdraw(r *traceRequest) {
	for n, a := range r.attempts {
		if a.isInFlight && x.rnd.Chance(0.8) {
			x.after(x.rnd.Millis(0, 5), func() { x.end(r, n, balancer.Cancelled) })
		}
	}
}

func (x *trace) disconnect(r *traceRequest) {
	if r.closed {
		return
	}
	r.closed = true
	x.counts["clients gone"]++
	x.handle(balancer.ClientDisconnected{Request: r.ev.ID})
	x.withdraw(r)
}

// finish is the end of a request that was not served: its client may come again.
func (x *trace) finish(id string, after time.Duration) {
	r := x.requests[id]
	r.closed = true
	x.withdraw(r)
	if r.clientRetries >= 3 || !x.rnd.Chance(0.6) {
		return
	}
	again := r.ev
	x.after(after+x.rnd.Millis(1, 60), func() {
		again.IsClientRetry = true
		if r.mayHaveRun != nil {
			again.Earlier = balancer.EarlierAttempt{MayHaveRun: true, SentAt: r.mayHaveRun.sent, Zone: r.mayHaveRun.server.entry.Zone, Cell: r.mayHaveRun.server.entry.Cell}
		}
		x.counts["clients come again"]++
		x.ask(again, r.clientRetries+1)
	})
}

func (x *trace) allowedServers(part float64) []string {
	if !x.rnd.Chance(part) {
		return nil
	}
	n := x.rnd.Between(0, 9)
	ids := []string{}
	for range n {
		ids = append(ids, x.servers[x.rnd.Below(len(x.servers))].entry.ID)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

func (x *trace) ask(e balancer.Request, tries int) {
	x.ids++
	e.ID = "r" + strconv.Itoa(x.ids)
	e.Deadline = x.at + x.rnd.Millis(300, 1500)
	e.UsesPreviousClasses = x.at-x.classesUpdatedAt < 200*time.Millisecond && e.Class < 4 && x.rnd.Chance(0.5)
	r := &traceRequest{ev: e, clientRetries: tries}
	x.requests[e.ID] = r
	x.handle(e)
	if x.rnd.Chance(0.03) {
		x.after(x.rnd.Millis(1, 300), func() { x.disconnect(r) })
	}
}

func (x *trace) arrive() {
	e := balancer.Request{Class: x.rnd.Below(len(x.classes)), Tenant: x.rnd.Between(-1, 3)}
	if x.rnd.Chance(0.4) {
		e.Tenant = 0 // more than its share
	}
	if x.rnd.Chance(0.6) {
		e.Key = "k" + strconv.Itoa(x.rnd.Below(200))
	}
	e.ManualRetry = x.rnd.Chance(0.2)
	e.AllowedServers = x.allowedServers(0.04)
	e.StreamsBody = x.rnd.Chance(0.05)
	if x.rnd.Chance(0.1) {
		e.MaxAttempts = x.rnd.Between(1, 2)
	}
	x.ask(e, 0)
	if x.rnd.Chance(0.01) { // the same once more, and a class that is not known, which are passed over
		x.handle(x.requests["r"+strconv.Itoa(x.ids)].ev)
		x.handle(balancer.Request{ID: "no class", Class: 99})
		x.handle(balancer.HealthCheckResult{Server: x.servers[0].entry.ID, Report: balancer.NoReport})
		x.handle(balancer.PeerMessage{From: 1})
	}
	pause := float64(time.Second) / float64(x.perSecond) * 2 * x.rnd.Share()
	if x.at < x.surgeUntil {
		pause /= 3
	}
	x.after(time.Duration(pause), x.arrive)
}

func (x *trace) newServer() *traceServer {
	x.names++
	s := &traceServer{base: x.rnd.Millis(20, 60), slots: float64(x.rnd.Between(4, 16))}
	s.entry = balancer.Server{ID: "s" + strconv.Itoa(x.names), Zone: x.rnd.Below(3), Cell: x.rnd.Below(1 + len(x.servers)/4), Weight: s.slots}
	if x.rnd.Chance(0.02) {
		s.entry.Weight = []float64{0, -1, math.NaN(), 1e12}[x.rnd.Below(4)]
	}
	x.servers = append(x.servers, s)
	x.byID[s.entry.ID] = s
	for i := range s.reports {
		s.reports[i] = balancer.NoReport
	}
	return s
}

func (x *trace) fullList(drop float64) balancer.ServerList {
	l := balancer.ServerList{Full: true, DropRatio: drop}
	for _, s := range x.servers {
		l.Servers = append(l.Servers, s.entry)
	}
	return l
}

// subscribed answers a subscription: with the whole list, or not at all.
func (x *trace) subscribed() {
	if x.lastingFaults && x.handled < x.events/2 || x.rnd.Chance(0.4) {
		x.counts["calls to the list that failed"]++
		x.handle(balancer.ListUnavailable{})
		return
	}
	x.handle(x.fullList(0))
}

// change changes the list: drains, removals, restarts, new servers, other weights, zones and cells.
func (x *trace) change() {
	n := x.rnd.Between(1, 3)
	if x.rnd.Chance(0.15) {
		n = 20
	}
	l := balancer.ServerList{}
	if x.rnd.Chance(0.1) {
		l.DropRatio = 0.2
	}
	for range n {
		s := x.servers[x.rnd.Below(len(x.servers))]
		switch x.rnd.Below(8) {
		case 0:
			s.entry.State = balancer.Draining
			x.counts["drains"]++
		case 1:
			if len(x.servers) < x.traceCase.servers*3/4 {
				break
			}
			x.counts["removals"]++
			s.entry.State = balancer.Removed
			x.servers = slices.DeleteFunc(x.servers, func(o *traceServer) bool { return o == s })
		case 2, 3:
			s.entry.Started, s.mode, s.entry.State = x.at, traceHealthy, balancer.Ready
			x.counts["restarts"]++
		case 4:
			s.entry.Cell, s.entry.Zone = x.rnd.Below(4), x.rnd.Below(3)
		case 5:
			s.entry.Weight = float64(x.rnd.Between(1, 20))
		case 6:
			s.entry.State = balancer.Ready
		default:
			if len(x.servers) > x.traceCase.servers*5/4 {
				break
			}
			s = x.newServer()
			if x.rnd.Chance(0.7) {
				s.entry.Started = x.at
			}
			if x.rnd.Chance(0.1) {
				l.Servers = append(l.Servers, s.entry) // named and taken back in one change
				s.entry.State = balancer.Removed
				x.servers = x.servers[:len(x.servers)-1]
			}
			x.counts["new servers"]++
		}
		l.Servers = append(l.Servers, s.entry)
		if x.rnd.Chance(0.05) {
			l.Servers = append(l.Servers, s.entry, balancer.Server{ID: "never seen", State: balancer.Removed})
		}
	}
	if x.rnd.Chance(0.1) {
		l = x.fullList(l.DropRatio)
	}
	x.handle(l)
	if x.lastingFaults {
		x.after(x.rnd.Millis(2000, 4000), x.change)
		return
	}
	x.after(x.rnd.Millis(30, 400), x.change)
}

// rollingRelease restarts most servers at once.
func (x *trace) rollingRelease() {
	l := balancer.ServerList{}
	for _, s := range x.servers {
		if x.rnd.Chance(0.7) {
			s.entry.Started, s.mode = x.at, traceHealthy
			l.Servers = append(l.Servers, s.entry)
		}
	}
	x.counts["releases"]++
	x.surgeUntil = x.at + 2*time.Second
	x.handle(l)
}

// faults changes how servers do, and how busy all others keep them, in phases.
func (x *trace) faults() {
	phase := x.handled * 10 / x.events
	x.background = []float64{0.1, 0.4, 0.4, 0.75, 1.1, 0.95, 0.3, 0.5, 1.3, 0.2}[min(phase, 9)]
	ill := []float64{0, 0.1, 0.15, 0.05, 0.1, 0.3, 0.9, 0.1, 0.1, 0.1}[min(phase, 9)]
	for i, s := range x.servers {
		if x.lastingFaults && i%6 == 0 {
			s.mode = 1 + i/6%(traceModes-1)
		} else if x.rnd.Chance(0.2) {
			if s.mode = traceHealthy; x.rnd.Chance(ill) {
				s.mode = x.rnd.Between(1, traceModes-1)
			}
		}
	}
	if x.calm {
		x.background = 0.4
		for _, s := range x.servers {
			s.mode = traceHealthy
		}
	}
	if x.blackouts && (x.at-time.Hour)%(4*time.Second) > 2*time.Second { // busy servers, of which none answers for a while
		x.background = 0.78
		for _, s := range x.servers {
			if s.mode = traceHealthy; (x.at-time.Hour)%(4*time.Second) > 3*time.Second {
				s.mode = traceHangs
			}
		}
	}
	x.after(150*time.Millisecond, x.faults)
}

// updateClasses changes the classes: an effect, a class that is retired, one that is new, and the attempts.
func (x *trace) updateClasses(round int) {
	next := slices.Clone(x.classes)
	switch round {
	case 0:
		next[1].Effect, next[2].Retired = balancer.NonIdempotent, true
		next = append(next, balancer.Class{Name: "new", Effect: balancer.IdempotentByKey, DedupScope: balancer.DedupZone, DedupWindow: 300e6, LatencyObjective: 250e6, Deadline: 1e9, Priority: 4})
	default:
		next[1].Effect, next[2].Retired, next[0].Priority = balancer.Idempotent, false, 3
	}
	x.classesUpdatedAt, x.classes = x.at, next
	x.counts["changes of classes"]++
	x.handle(balancer.ClassUpdate{Classes: next, MaxAttempts: 4 - round, AllowHedging: x.hedging})
}

func (x *trace) run(t *testing.T) string {
	x.classes = []balancer.Class{
		{Name: "a", Effect: balancer.Idempotent, LatencyObjective: 300e6, Deadline: 1500e6, Priority: 1},
		{Name: "b", Effect: balancer.Idempotent, LatencyObjective: 400e6, Deadline: 2e9, Priority: 5},
		{Name: "c", Effect: balancer.NonIdempotent, LatencyObjective: 300e6, Deadline: 2e9, Priority: 10},
		{Name: "d", Effect: balancer.IdempotentByKey, DedupScope: balancer.DedupFleet, DedupWindow: 500e6, LatencyObjective: 300e6, Deadline: 2e9, Priority: 3},
		{Name: "e", Effect: balancer.IdempotentByKey, DedupScope: balancer.DedupZone, DedupWindow: 900e6, LatencyObjective: 300e6, Deadline: 2e9, Priority: 3},
		{Name: "f", Effect: balancer.IdempotentByKey, DedupScope: balancer.DedupCell, DedupWindow: 900e6, LatencyObjective: 300e6, Deadline: 2e9, Priority: 2}}
	set := balancer.Settings{Balancers: x.balancers, Index: x.seed, Tick: 5 * time.Millisecond, Classes: x.classes, Zone: 1, CrossZoneCost: 0.02,
		UseListWeights: x.weights, Subscribe: true, KeyAffinity: x.keyAffinity, MaxAttempts: 3, AllowHedging: x.hedging, MaxRetryAfter: 100 * time.Millisecond,
		SlowStartInitialRatio: 0.2, SlowStartDuration: 3 * time.Second, Quotas: []float64{0.2, 0.3, 0.5}, OverQuotaPriorityRatio: 0.3}
	if x.overload {
		set.WarmingOverloadRatio, set.MaxPollInterval = 3, 2*time.Second
	}
	b, err := balancer.New(set, uint64(x.seed))
	if err != nil {
		t.Fatal(err)
	}
	x.b, x.rnd, x.at, x.digest = b, golden.Random(x.seed*1000+x.traceCase.servers), time.Hour, sha256.New()
	x.byID, x.requests, x.ejected, x.counts = map[string]*traceServer{}, map[string]*traceRequest{}, map[string]bool{}, map[string]int{}
	for range x.traceCase.servers {
		x.newServer()
	}
	x.feed(b.Start(x.at))
	if x.lastingFaults {
		x.handle(x.fullList(0))
	}
	x.after(0, x.faults)
	x.after(0, x.arrive)
	if x.lastingFaults {
		x.after(30*time.Second, x.change)
	} else {
		x.after(time.Second, x.change)
	}
	x.after(x.rnd.Millis(2000, 3000), func() { x.handle(balancer.ListUnavailable{}) })
	rounds, emptied, released := 0, false, false
	for x.handled < x.events {
		if part := x.handled * 100 / x.events; rounds == 0 && part >= 45 || rounds == 1 && part >= 70 {
			x.updateClasses(rounds)
			rounds++
		} else if !emptied && part >= 80 { // nobody is left for a moment
			emptied = true
			x.handle(balancer.ServerList{Full: true})
			x.after(100*time.Millisecond, func() { x.handle(x.fullList(0)) })
		}
		if !released && x.handled*100/x.events >= 30 {
			released = true
			x.rollingRelease()
		}
		e := heap.Pop(&x.queue).(traceEvent)
		x.at = e.at
		e.run()
	}
	var out strings.Builder
	fmt.Fprintf(&out, "sha256 %x\n\n", x.digest.Sum(nil))
	for _, k := range sortedKeys(x.counts) {
		fmt.Fprintf(&out, "%7d %s\n", x.counts[k], k)
	}
	fmt.Fprintf(&out, "\n%s\n", strings.Join(x.marks, "\n"))
	return out.String()
}

func TestDecisionsStayEqual(t *testing.T) {
	cases := []traceCase{
		{servers: 10, seed: 1, balancers: 2, keyAffinity: true, hedging: true, weights: true, perSecond: 400},
		{servers: 10, seed: 2, balancers: 5, hedging: true, noReports: true, perSecond: 400},
		{servers: 10, seed: 3, balancers: 3, keyAffinity: true, overload: true, weights: true, perSecond: 700},
		{servers: 200, seed: 1, balancers: 40, keyAffinity: true, hedging: true, weights: true, overload: true, perSecond: 900},
		{servers: 200, seed: 2, balancers: 400, hedging: true, perSecond: 500},
		{servers: 200, seed: 3, balancers: 100, keyAffinity: true, noReports: true, weights: true, perSecond: 900},
		{servers: 200, seed: 4, balancers: 4000, hedging: true, overload: true, perSecond: 300},
		{servers: 200, seed: 5, balancers: 4000, weights: true, perSecond: 200},
		{servers: 30, seed: 1, balancers: 3, hedging: true, perSecond: 100, lastingFaults: true},
		{servers: 30, seed: 2, balancers: 30, keyAffinity: true, weights: true, perSecond: 60, lastingFaults: true},
		{servers: 30, seed: 3, balancers: 3, hedging: true, perSecond: 200, blackouts: true},
		{servers: 1000, seed: 1, balancers: 10, hedging: true, perSecond: 2000, calm: true},
		{servers: 3000, seed: 1, balancers: 600, keyAffinity: true, hedging: true, weights: true, overload: true, perSecond: 1200},
		{servers: 3000, seed: 2, balancers: 3000, hedging: true, perSecond: 500},
		{servers: 3000, seed: 3, balancers: 20, keyAffinity: true, weights: true, perSecond: 1500},
	}
	traces := make([]*trace, len(cases))
	t.Run("cases", func(t *testing.T) {
		for i, c := range cases {
			c.events = 20000
			traces[i] = &trace{traceCase: c}
			t.Run(fmt.Sprintf("%d servers, seed %d", c.servers, c.seed), func(t *testing.T) {
				t.Parallel()
				golden.Equal(t, fmt.Sprintf("decisions/balancer-%d-seed-%d", c.servers, c.seed), []byte(traces[i].run(t)))
			})
		}
	})
	total := map[string]int{}
	for _, x := range traces {
		for k, n := range x.counts {
			total[k] += n
		}
	}
	// Each rule has to fire, or its trace proves nothing. Kinds that the module never uses are left out: cancel, probe, tell.
	for _, k := range []string{"action send", "action refuse", "action fail", "action set timer", "action subscribe",
		"refuse for overload", "refuse for withheld", "refuse for no server", "refuse for no budget", "refuse for spent",
		"fail for overload", "fail for withheld", "fail for no server", "fail for no budget", "fail for spent",
		"second copies", "further attempts", "sends to cold servers", "ejections seen", "looks that saw shedding", "uploads written",
		"streamed answers", "clients gone", "clients come again", "attempts asked for", "calls to the list that failed", "drains",
		"removals", "restarts", "new servers", "changes of classes", "releases", "sends by effect 0", "sends by effect 1", "sends by effect 2",
		"outcomes of result 0", "outcomes of result 1", "outcomes of result 2", "outcomes of result 3", "outcomes of result 4",
		"outcomes of result 5", "outcomes of result 6", "outcomes of result 7"} {
		if total[k] == 0 {
			t.Errorf("none in any trace: %s", k)
		}
	}
}
