package scenario

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/emulator"
)

// Report is the outcome of one scenario run. The JSON names are the file format of reports, and don't follow the Go names.
type Report struct {
	Service           ServiceScore   `json:"Service"`
	Classes           []ClassReport  `json:"Classes"`
	Seconds           []SecondReport `json:"Seconds"` // by the second in which a request arrived
	Events            []EventReport  `json:"Happens"`
	Violations        []string       `json:"Broken"`  // the first violations of the four rules, at most maxViolationsListed
	ViolationCount    int            `json:"Breaks"`  // number of all violations
	FailedAssertions  []string       `json:"Failing"` // assertions of the script that failed
	Notes             []string       `json:"Notes"`
	Servers           []ServerReport `json:"Servers"`
	ClientRetries     int            `json:"Retries"`
	OverloadsDetected int            `json:"Storms"` // overloads that agents detected; counted in simulated time only
	Duration          time.Duration  `json:"Length"`
}

// ServiceScore is the service figure and its parts, each from 0 to 1 and weighted by the priority of the requests.
type ServiceScore struct {
	Whole      float64       `json:"Whole"`
	Worst10    float64       `json:"Worst10"`    // of the worst ten consecutive seconds
	WorstClass float64       `json:"WorstClass"` // of the worst class of requests
	WorstPoint float64       `json:"WorstPoint"` // of the worst refund point
	Figure     float64       `json:"Figure"`     // the weighted sum of the four
	WorstFrom  time.Duration `json:"WorstFrom"`  // start of the worst ten seconds
}

// ClassReport counts the requests of a class by their result.
type ClassReport struct {
	Name       string `json:"Name"`
	Offered    int    `json:"Offered"`
	InTime     int    `json:"InAim"` // served within the latency objective
	Late       int    `json:"Late"`  // served after it
	Rejected   int    `json:"Refused"`
	Failed     int    `json:"Failed"`
	Unanswered int    `json:"Lost"` // no answer before the deadline
}

// SecondReport counts the requests that arrived in one second by their result.
type SecondReport struct {
	Offered    int `json:"Offered"`
	InTime     int `json:"InAim"`
	Late       int `json:"Late"`
	Rejected   int `json:"Refused"`
	Failed     int `json:"Failed"`
	Unanswered int `json:"Lost"`

	offeredPriority, earnedPriority float64 // sums of the priorities: of all requests, and of those served within the latency objective
}

// EventReport is an event of the script at the time at which it took place.
type EventReport struct {
	At       time.Duration `json:"At"`
	Duration time.Duration `json:"For"` // 0: the event has no duration
	Type     string        `json:"Do"`
}

// ServerReport is what one server did in a run.
type ServerReport struct {
	Name      string `json:"Name"`
	Kind      string `json:"Kind"`
	Arrived   int    `json:"Arrived"` // requests that reached it
	Served    int    `json:"Served"`  // counted in simulated time only
	Peak      int    `json:"Peak"`    // most requests that it held at a time
	Capacity  int    `json:"Room"`    // slots and queue
	InFlight  []int  `json:"Held"`    // requests in it, sampled once a second
	Collapsed bool   `json:"Toppled"`
}

const maxViolationsListed = 20 // rules that are told one by one

func (d *Report) addEvent(at time.Duration, do string, lasts time.Duration) {
	d.Events = append(d.Events, EventReport{at, lasts, do})
}

// broken notes that a rule was broken.
func (d *Report) addViolation(now time.Duration, rule, format string, args ...any) {
	d.ViolationCount++
	if len(d.Violations) < maxViolationsListed {
		d.Violations = append(d.Violations, fmt.Sprintf("rule %s at %v: ", rule, now-startTime-settleTime)+fmt.Sprintf(format, args...))
	}
}

func (st *scenarioRun) addViolation(rule, format string, args ...any) {
	st.report.addViolation(st.now, rule, format, args...)
}

// worths are the classes', in the order of classes.
var classPriorities = []float64{2, 10}

// overQuotaPriorityRatio is what is left of the worth of traffic beyond a refund point's share.
const overQuotaPriorityRatio = 0.1

// settings are the module's, as the platform would state them.
func (w *simulation) balancerSettings() balancer.Settings {
	set := balancer.Settings{Balancers: w.script.Fleet.Agents, Tick: 5 * time.Millisecond, KeyAffinity: true, MaxAttempts: 5,
		AllowHedging: true, MaxRetryAfter: time.Second, SlowStartInitialRatio: 0.32, SlowStartDuration: 8700 * time.Millisecond, WarmingOverloadRatio: 3,
		OverQuotaPriorityRatio: overQuotaPriorityRatio,
		Classes: []balancer.Class{
			{Name: "form-check", Effect: balancer.Idempotent, LatencyObjective: latencyObjective, Deadline: deadline, Priority: classPriorities[0]},
			{Name: "refund-record", Effect: balancer.IdempotentByKey, DedupScope: balancer.DedupCell, DedupWindow: dedupWindow, LatencyObjective: latencyObjective, Deadline: deadline,
				Priority: classPriorities[1]},
		}}
	for _, p := range refundPoints {
		set.Quotas = append(set.Quotas, p.share)
	}
	return set
}

// startTime is when the simulated day begins: time 0 stands for "never" in the module.
const startTime = time.Second

// settleTime is how long the agents run before the first request.
const settleTime = 500 * time.Millisecond

// Simulate plays a day in simulated time.
func Simulate(script Script, seed uint64) Report {
	w := newWorld(script, seed)
	w.play()
	return w.report
}

func newWorld(script Script, seed uint64) *simulation {
	w := &simulation{networkRandom: rand.New(rand.NewPCG(seed, 2)), ledger: emulator.NewLedger(), serversByID: map[string]*simServer{},
		pods: map[int]*emulator.Pod{}}
	w.scenarioRun = newScenarioRun(script, seed, w)
	return w
}

// play plays the whole day.
func (w *simulation) play() {
	w.report.Duration = w.script.Duration.draw(w.random)
	w.startFleet()
	for i := range w.script.Fleet.Agents {
		a := &simAgent{w: w, number: i}
		w.agents = append(w.agents, a)
		a.start()
	}
	begin := startTime + settleTime
	w.schedule(begin, func() {
		w.scheduleEvents()
		w.scheduleArrivals(begin + w.report.Duration)
		w.sample(0, int(w.report.Duration/time.Second))
	})
	w.run(begin + w.report.Duration + deadline + time.Second)
	all := make([]*requestRecord, len(w.requests))
	for i, r := range w.requests {
		all[i] = &r.requestRecord
	}
	for _, s := range w.simServers {
		w.report.Servers = append(w.report.Servers, ServerReport{Name: s.id, Kind: s.kind.name, Arrived: int(s.lastRequestID), Served: s.served, Peak: s.peak,
			Capacity: s.model.Room(), InFlight: s.inFlightSamples, Collapsed: s.model.Toppled()})
	}
	for _, a := range w.agents {
		a.countOverloads()
	}
	w.report.evaluate(all, begin, w.ledger, w.now, w.script)
}

// sample notes how many requests each server holds, once a second.
func (w *simulation) sample(second, until int) {
	for _, s := range w.simServers {
		s.advance()
		for len(s.inFlightSamples) < second { // it was not there yet
			s.inFlightSamples = append(s.inFlightSamples, 0)
		}
		s.inFlightSamples = append(s.inFlightSamples, s.model.Held())
	}
	if second < until {
		w.scheduleAfter(time.Second, func() { w.sample(second+1, until) })
	}
}

// run lets things happen until the end.
func (w *simulation) run(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		t := w.pop()
		w.now = t.at
		t.run()
	}
	w.now = end
}

// arrivals plans the next request of the clients, and with it the one after that.
func (w *simulation) scheduleArrivals(end time.Duration) {
	clients := rand.New(rand.NewPCG(w.random.Uint64(), 3))
	zipf := rand.NewZipf(clients, 1.2, 8, uint64(w.script.Clients.DistinctForms-1))
	weights := cumulativeWeights(len(w.agents), clients)
	var one func()
	one = func() {
		if w.now >= end {
			return
		}
		w.sendNewRequest(clients, zipf, weights)
		w.scheduleAfter(time.Duration(clients.ExpFloat64()/(w.script.Clients.Rate*w.loadFactor)*float64(time.Second)), one)
	}
	one()
}

// sums are the agents' shares of the traffic, added up: most carry little, some far more.
func cumulativeWeights(agents int, random *rand.Rand) (all []float64) {
	sum := 0.0
	for range agents {
		sum += 0.3 + random.ExpFloat64()
		all = append(all, sum)
	}
	return all
}

// drawn is a request as it is drawn.
type drawnRequest struct {
	requestRecord
	agent int
}

// drawRequest draws an agent by the weights, a class, and a refund point by its share.
func drawRequest(random *rand.Rand, weights []float64) *drawnRequest {
	x := random.Float64() * weights[len(weights)-1]
	r := &drawnRequest{agent: slices.IndexFunc(weights, func(sum float64) bool { return x < sum })}
	if random.Float64() < 0.33 {
		r.class = 1
	}
	x = random.Float64()
	for i, p := range refundPoints {
		if r.tenant = i; x < p.share {
			break
		}
		x -= p.share
	}
	return r
}

func (w *simulation) sendNewRequest(random *rand.Rand, zipf *rand.Zipf, weights []float64) {
	d := drawRequest(random, weights)
	r := &simRequest{requestRecord: d.requestRecord, w: w, agent: w.agents[d.agent], id: fmt.Sprint("r", len(w.requests)),
		route: fmt.Sprint("form-", zipf.Uint64())}
	if r.arrived = w.now; r.class == 1 {
		r.idempotencyKey = "refund-" + r.id
	}
	w.requests = append(w.requests, r)
	w.send(r)
}

// score sums the day up.
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

func ratio(got, worth float64) float64 {
	if worth == 0 {
		return 1
	}
	return got / worth
}

func worst(parts [][2]float64) float64 {
	least := 1.0
	for _, p := range parts {
		least = min(least, ratio(p[1], p[0]))
	}
	return least
}

// between is the service of what arrived in a span of whole seconds.
func (d *Report) serviceBetween(from, to int) float64 {
	var worth, got float64
	for _, s := range d.Seconds[max(0, from):min(to, len(d.Seconds))] {
		worth, got = worth+s.offeredPriority, got+s.earnedPriority
	}
	return ratio(got, worth)
}

func (d *Report) worstWindow() (least float64, from time.Duration) {
	least = 1
	for i := 0; i+10 <= len(d.Seconds) || i == 0; i++ {
		if x := d.serviceBetween(i, i+10); x < least {
			least, from = x, time.Duration(i)*time.Second
		}
	}
	return least, from
}

// witness looks for effects that repeated: a key that ran again, in another pod or after its pod has forgotten it.
func (d *Report) checkSingleExecution(all []*requestRecord, ledger *emulator.Ledger, now time.Duration) {
	repeated := ledger.Repeated()
	for _, r := range all { // in the order of arrival, so that the report is the same each time
		if ran := repeated[r.idempotencyKey]; len(ran) > 1 {
			d.addViolation(now, "2", "%s ran at %s and, %v later, at %s", r.idempotencyKey, ran[0].Server, ran[1].At-ran[0].At, ran[1].Server)
		}
	}
}

// assert checks what the script says must hold.
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

func (d *Report) addFailedAssertion(format string, args ...any) {
	d.FailedAssertions = append(d.FailedAssertions, fmt.Sprintf(format, args...))
}

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

// checkRecovery checks the ten seconds that begin so long after the end of each event of a kind, as far as the day lasts.
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

func (d *Report) checkOccupancy(a Assertion) {
	for _, s := range d.Servers {
		if s.Capacity > 0 && float64(s.Peak) > a.MaxOccupancy*float64(s.Capacity) {
			d.addFailedAssertion("%s held %d of %d, at most the share %.2f was asked for", s.Name, s.Peak, s.Capacity, a.MaxOccupancy)
		}
	}
}

// arrived is how many attempts reached the servers.
func (d *Report) attemptsArrived() (n int) {
	for _, s := range d.Servers {
		n += s.Arrived
	}
	return n
}

// Passed reports whether all rules and assertions held.
func (d Report) Passed() bool { return d.ViolationCount == 0 && len(d.FailedAssertions) == 0 }

// Write writes the report as text.
func (d Report) Write(out io.Writer) {
	f := d.Service
	fmt.Fprintf(out, "service %.4f   whole day %.4f   worst 10 s %.4f (from %v)   worst class %.4f   worst point %.4f\n",
		f.Figure, f.Whole, f.Worst10, f.WorstFrom, f.WorstClass, f.WorstPoint)
	for _, c := range d.Classes {
		fmt.Fprintf(out, "%-14s %6d asked  %6d in time  %5d late  %5d refused  %5d failed  %5d unanswered\n", c.Name, c.Offered,
			c.InTime, c.Late, c.Rejected, c.Failed, c.Unanswered)
	}
	fmt.Fprintf(out, "%d tries were the clients' own repeats; %d attempts reached the servers\n", d.ClientRetries, d.attemptsArrived())
	if d.OverloadsDetected > 0 {
		fmt.Fprintf(out, "agents took what they saw for a storm %d times\n", d.OverloadsDetected)
	}
	for _, h := range d.Events {
		fmt.Fprintf(out, "at %-8v %s", (h.At - startTime - settleTime).Round(time.Millisecond), h.Type)
		if h.Duration > 0 {
			fmt.Fprintf(out, " for %v", h.Duration.Round(time.Millisecond))
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "%6s %8s %8s %6s %8s %7s %11s\n", "from s", "asked", "in time", "late", "refused", "failed", "unanswered")
	for i := 0; i < len(d.Seconds); i += 5 {
		var s SecondReport
		for _, one := range d.Seconds[i:min(i+5, len(d.Seconds))] {
			s.Offered, s.InTime, s.Late = s.Offered+one.Offered, s.InTime+one.InTime, s.Late+one.Late
			s.Rejected, s.Failed, s.Unanswered = s.Rejected+one.Rejected, s.Failed+one.Failed, s.Unanswered+one.Unanswered
		}
		if s.Offered > 0 {
			fmt.Fprintf(out, "%6d %8d %8d %6d %8d %7d %11d\n", i, s.Offered, s.InTime, s.Late, s.Rejected, s.Failed, s.Unanswered)
		}
	}
	for _, list := range []struct {
		what  string
		lines []string
	}{{"note: ", d.Notes}, {"BROKEN ", d.Violations}, {"NOT HELD ", d.FailedAssertions}} {
		for _, line := range list.lines {
			fmt.Fprintln(out, list.what+strings.TrimSpace(line))
		}
	}
	if d.ViolationCount > len(d.Violations) {
		fmt.Fprintf(out, "BROKEN %d times in all\n", d.ViolationCount)
	}
	if d.ViolationCount == 0 {
		fmt.Fprintln(out, "the four rules were kept")
	}
}
