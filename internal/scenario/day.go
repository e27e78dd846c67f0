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

// Day is what became of a rehearsal.
type Day struct {
	Service Figures
	Classes []ClassDay
	Seconds []SecondOf // by arrival
	Happens []Happening
	Broken  []string // rules that were broken, the first few
	Breaks  int      // how many in all
	Failing []string // assertions that did not hold
	Notes   []string
	Servers []ServerDay
	Retries int
	Storms  int // noticed by agents, in simulated time
	Length  time.Duration
}

// Figures are the service figure and its parts, from 0 to 1, weighed as the operators weigh them.
type Figures struct {
	Whole, Worst10, WorstClass, WorstPoint, Figure float64
	WorstFrom                                      time.Duration // when the worst 10 s began
}

// ClassDay counts the requests of a class by how they ended.
type ClassDay struct {
	Name                                        string
	Offered, InAim, Late, Refused, Failed, Lost int
}

// SecondOf is what became of the requests that arrived in a second.
type SecondOf struct {
	Offered, InAim, Late, Refused, Failed, Lost int
	worth, got                                  float64
}

// Happening is an event as it happened.
type Happening struct {
	At, For time.Duration
	Do      string
}

// ServerDay is a server's part of the day.
type ServerDay struct {
	Name, Kind   string
	Arrived      int // requests that reached it
	Served, Peak int
	Room         int   // slots and waiting room
	Held         []int // requests in it, second by second
	Toppled      bool
}

const mostBroken = 20 // rules that are told one by one

func (d *Day) note(at time.Duration, do string, lasts time.Duration) {
	d.Happens = append(d.Happens, Happening{at, lasts, do})
}

// broken notes that a rule was broken.
func (d *Day) broken(now time.Duration, rule, format string, args ...any) {
	d.Breaks++
	if len(d.Broken) < mostBroken {
		d.Broken = append(d.Broken, fmt.Sprintf("rule %s at %v: ", rule, now-dayStart-settleTime)+fmt.Sprintf(format, args...))
	}
}

func (st *stage) broken(rule, format string, args ...any) {
	st.day.broken(st.now, rule, format, args...)
}

// worths are the classes', in the order of classes.
var worths = []float64{2, 10}

// overShareWorth is what is left of the worth of traffic beyond a refund point's share.
const overShareWorth = 0.1

// settings are the module's, as the platform would state them.
func (w *world) settings() balancer.Settings {
	set := balancer.Settings{Balancers: w.script.Fleet.Agents, Tick: 5 * time.Millisecond, KeyAffinity: true, MaxAttempts: 5,
		AllowHedging: true, MaxRetryAfter: time.Second, SlowStartInitialRatio: 0.32, SlowStartDuration: 8700 * time.Millisecond, WarmingOverloadRatio: 3,
		OverQuotaPriorityRatio: overShareWorth,
		Classes: []balancer.Class{
			{Name: "form-check", Effect: balancer.Idempotent, LatencyObjective: aim, Deadline: deadline, Priority: worths[0]},
			{Name: "refund-record", Effect: balancer.IdempotentByKey, DedupScope: balancer.DedupCell, DedupWindow: dropWindow, LatencyObjective: aim, Deadline: deadline,
				Priority: worths[1]},
		}}
	for _, p := range points {
		set.Quotas = append(set.Quotas, p.share)
	}
	return set
}

// dayStart is when the simulated day begins: time 0 stands for "never" in the module.
const dayStart = time.Second

// settleTime is how long the agents run before the first request.
const settleTime = 500 * time.Millisecond

// Simulate plays a day in simulated time.
func Simulate(script Script, seed uint64) Day {
	w := newWorld(script, seed)
	w.play()
	return w.day
}

func newWorld(script Script, seed uint64) *world {
	w := &world{net: rand.New(rand.NewPCG(seed, 2)), ledger: emulator.NewLedger(), byID: map[string]*simServer{},
		pods: map[int]*emulator.Pod{}}
	w.stage = newStage(script, seed, w)
	return w
}

// play plays the whole day.
func (w *world) play() {
	w.day.Length = w.script.Length.draw(w.random)
	w.open()
	for i := range w.script.Fleet.Agents {
		a := &simAgent{w: w, number: i}
		w.agents = append(w.agents, a)
		a.boot()
	}
	begin := dayStart + settleTime
	w.plan(begin, func() {
		w.timeline()
		w.arrivals(begin + w.day.Length)
		w.sample(0, int(w.day.Length/time.Second))
	})
	w.run(begin + w.day.Length + deadline + time.Second)
	all := make([]*asked, len(w.requests))
	for i, r := range w.requests {
		all[i] = &r.asked
	}
	for _, s := range w.servers {
		w.day.Servers = append(w.day.Servers, ServerDay{Name: s.id, Kind: s.kind.name, Arrived: int(s.last), Served: s.served, Peak: s.peak,
			Room: s.model.Room(), Held: s.held, Toppled: s.model.Toppled()})
	}
	for _, a := range w.agents {
		a.noticed()
	}
	w.day.score(all, begin, w.ledger, w.now, w.script)
}

// sample notes how many requests each server holds, once a second.
func (w *world) sample(second, until int) {
	for _, s := range w.servers {
		s.look()
		for len(s.held) < second { // it was not there yet
			s.held = append(s.held, 0)
		}
		s.held = append(s.held, s.model.Held())
	}
	if second < until {
		w.after(time.Second, func() { w.sample(second+1, until) })
	}
}

// run lets things happen until the end.
func (w *world) run(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		t := w.next()
		w.now = t.at
		t.do()
	}
	w.now = end
}

// arrivals plans the next request of the clients, and with it the one after that.
func (w *world) arrivals(end time.Duration) {
	clients := rand.New(rand.NewPCG(w.random.Uint64(), 3))
	zipf := rand.NewZipf(clients, 1.2, 8, uint64(w.script.Clients.Forms-1))
	weights := sums(len(w.agents), clients)
	var one func()
	one = func() {
		if w.now >= end {
			return
		}
		w.request(clients, zipf, weights)
		w.after(time.Duration(clients.ExpFloat64()/(w.script.Clients.Rate*w.times)*float64(time.Second)), one)
	}
	one()
}

// sums are the agents' shares of the traffic, added up: most carry little, some far more.
func sums(agents int, random *rand.Rand) (all []float64) {
	sum := 0.0
	for range agents {
		sum += 0.3 + random.ExpFloat64()
		all = append(all, sum)
	}
	return all
}

// drawn is a request as it is drawn.
type drawn struct {
	asked
	agent int
}

// drawRequest draws an agent by the weights, a class, and a refund point by its share.
func drawRequest(random *rand.Rand, weights []float64) *drawn {
	x := random.Float64() * weights[len(weights)-1]
	r := &drawn{agent: slices.IndexFunc(weights, func(sum float64) bool { return x < sum })}
	if random.Float64() < 0.33 {
		r.class = 1
	}
	x = random.Float64()
	for i, p := range points {
		if r.tenant = i; x < p.share {
			break
		}
		x -= p.share
	}
	return r
}

func (w *world) request(random *rand.Rand, zipf *rand.Zipf, weights []float64) {
	d := drawRequest(random, weights)
	r := &simRequest{asked: d.asked, w: w, agent: w.agents[d.agent], id: fmt.Sprint("r", len(w.requests)),
		route: fmt.Sprint("form-", zipf.Uint64())}
	if r.arrived = w.now; r.class == 1 {
		r.key = "refund-" + r.id
	}
	w.requests = append(w.requests, r)
	w.send(r)
}

// score sums the day up.
func (d *Day) score(all []*asked, begin time.Duration, ledger *emulator.Ledger, now time.Duration, script Script) {
	d.Classes = make([]ClassDay, len(classes))
	for i, c := range classes {
		d.Classes[i].Name = c.Name
	}
	d.Seconds = make([]SecondOf, int(d.Length/time.Second)+1)
	var worth, got float64
	byClass, byPoint := make([][2]float64, len(classes)), make([][2]float64, len(points))
	for _, r := range all {
		d.Retries += r.tries - 1
		second, class := &d.Seconds[int((r.arrived-begin)/time.Second)], &d.Classes[r.class]
		earned := 0.0
		second.Offered++
		class.Offered++
		switch {
		case r.end == served && r.took <= aim:
			earned = worths[r.class]
			second.InAim++
			class.InAim++
		case r.end == served:
			second.Late++
			class.Late++
		case r.end == refused:
			second.Refused++
			class.Refused++
		case r.end == failed:
			second.Failed++
			class.Failed++
		default:
			second.Lost++
			class.Lost++
		}
		worth, got = worth+worths[r.class], got+earned
		second.worth, second.got = second.worth+worths[r.class], second.got+earned
		for _, part := range []*[2]float64{&byClass[r.class], &byPoint[r.tenant]} {
			part[0], part[1] = part[0]+worths[r.class], part[1]+earned
		}
	}
	f := &d.Service
	f.Whole, f.WorstClass, f.WorstPoint = ratio(got, worth), worst(byClass), worst(byPoint)
	f.Worst10, f.WorstFrom = d.worstWindow()
	f.Figure = 0.35*f.Whole + 0.35*f.Worst10 + 0.2*f.WorstClass + 0.1*f.WorstPoint
	d.witness(all, ledger, now)
	d.assert(script)
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
func (d *Day) between(from, to int) float64 {
	var worth, got float64
	for _, s := range d.Seconds[max(0, from):min(to, len(d.Seconds))] {
		worth, got = worth+s.worth, got+s.got
	}
	return ratio(got, worth)
}

func (d *Day) worstWindow() (least float64, from time.Duration) {
	least = 1
	for i := 0; i+10 <= len(d.Seconds) || i == 0; i++ {
		if x := d.between(i, i+10); x < least {
			least, from = x, time.Duration(i)*time.Second
		}
	}
	return least, from
}

// witness looks for effects that repeated: a key that ran again, in another pod or after its pod has forgotten it.
func (d *Day) witness(all []*asked, ledger *emulator.Ledger, now time.Duration) {
	repeated := ledger.Repeated()
	for _, r := range all { // in the order of arrival, so that the report is the same each time
		if ran := repeated[r.key]; len(ran) > 1 {
			d.broken(now, "2", "%s ran at %s and, %v later, at %s", r.key, ran[0].Server, ran[1].At-ran[0].At, ran[1].Server)
		}
	}
}

// assert checks what the script says must hold.
func (d *Day) assert(s Script) {
	for _, a := range s.Asserts {
		switch {
		case a.Holds > 0:
			d.assertHolds(a)
		case a.After != "":
			d.assertRecovery(a)
		default:
			d.assertService(a)
		}
	}
}

func (d *Day) failing(format string, args ...any) {
	d.Failing = append(d.Failing, fmt.Sprintf(format, args...))
}

func (d *Day) assertService(a Assert) {
	from, to := int(a.From.From/time.Second), len(d.Seconds)
	if a.Until.From > 0 {
		to = int(a.Until.From / time.Second)
	}
	got, what := d.between(from, to), fmt.Sprintf("service from %v to %v", a.From.From, a.Until.From)
	if a.From.From == 0 && a.Until.From == 0 {
		got, what = d.Service.Figure, "the service figure"
	}
	if got < a.Service {
		d.failing("%s is %.4f, at least %.4f was asked for", what, got, a.Service)
	}
}

// assertRecovery checks the ten seconds that begin so long after the end of each event of a kind, as far as the day lasts.
func (d *Day) assertRecovery(a Assert) {
	for _, h := range d.Happens {
		if h.Do != a.After {
			continue
		}
		ended := h.At + h.For - dayStart - settleTime
		from := int((ended + a.Within.To + time.Second - 1) / time.Second)
		if from >= len(d.Seconds) {
			d.failing("%s ended at %v, and the day before recovery could be seen", h.Do, ended.Round(time.Millisecond))
		} else if got := d.between(from, from+10); got < a.Service {
			d.failing("service is %.4f in the ten seconds from %v after %s, at least %.4f was asked for", got, a.Within.To, h.Do, a.Service)
		}
	}
}

func (d *Day) assertHolds(a Assert) {
	for _, s := range d.Servers {
		if s.Room > 0 && float64(s.Peak) > a.Holds*float64(s.Room) {
			d.failing("%s held %d of %d, at most the share %.2f was asked for", s.Name, s.Peak, s.Room, a.Holds)
		}
	}
}

// arrived is how many attempts reached the servers.
func (d *Day) arrived() (n int) {
	for _, s := range d.Servers {
		n += s.Arrived
	}
	return n
}

// Held reports whether all rules and assertions held.
func (d Day) Held() bool { return d.Breaks == 0 && len(d.Failing) == 0 }

// Write writes the report as text.
func (d Day) Write(out io.Writer) {
	f := d.Service
	fmt.Fprintf(out, "service %.4f   whole day %.4f   worst 10 s %.4f (from %v)   worst class %.4f   worst point %.4f\n",
		f.Figure, f.Whole, f.Worst10, f.WorstFrom, f.WorstClass, f.WorstPoint)
	for _, c := range d.Classes {
		fmt.Fprintf(out, "%-14s %6d asked  %6d in time  %5d late  %5d refused  %5d failed  %5d unanswered\n", c.Name, c.Offered,
			c.InAim, c.Late, c.Refused, c.Failed, c.Lost)
	}
	fmt.Fprintf(out, "%d tries were the clients' own repeats; %d attempts reached the servers\n", d.Retries, d.arrived())
	if d.Storms > 0 {
		fmt.Fprintf(out, "agents took what they saw for a storm %d times\n", d.Storms)
	}
	for _, h := range d.Happens {
		fmt.Fprintf(out, "at %-8v %s", (h.At - dayStart - settleTime).Round(time.Millisecond), h.Do)
		if h.For > 0 {
			fmt.Fprintf(out, " for %v", h.For.Round(time.Millisecond))
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "%6s %8s %8s %6s %8s %7s %11s\n", "from s", "asked", "in time", "late", "refused", "failed", "unanswered")
	for i := 0; i < len(d.Seconds); i += 5 {
		var s SecondOf
		for _, one := range d.Seconds[i:min(i+5, len(d.Seconds))] {
			s.Offered, s.InAim, s.Late = s.Offered+one.Offered, s.InAim+one.InAim, s.Late+one.Late
			s.Refused, s.Failed, s.Lost = s.Refused+one.Refused, s.Failed+one.Failed, s.Lost+one.Lost
		}
		if s.Offered > 0 {
			fmt.Fprintf(out, "%6d %8d %8d %6d %8d %7d %11d\n", i, s.Offered, s.InAim, s.Late, s.Refused, s.Failed, s.Lost)
		}
	}
	for _, list := range []struct {
		what  string
		lines []string
	}{{"note: ", d.Notes}, {"BROKEN ", d.Broken}, {"NOT HELD ", d.Failing}} {
		for _, line := range list.lines {
			fmt.Fprintln(out, list.what+strings.TrimSpace(line))
		}
	}
	if d.Breaks > len(d.Broken) {
		fmt.Fprintf(out, "BROKEN %d times in all\n", d.Breaks)
	}
	if d.Breaks == 0 {
		fmt.Fprintln(out, "the four rules were kept")
	}
}
