package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func options() Options {
	return Options{Classes: []Class{{Priority: 2, LatencyObjective: 600 * ms, Idempotent: true}, {Priority: 10, LatencyObjective: 600 * ms}}, Quotas: []float64{0.5, 0.5},
		MaxRetryAfter: time.Second, MaxRemembered: 256, Seed: 1}
}

// town is clients and a fleet in a few lines, round a Watch: the fleet answers in a time that rises with what it holds over
// what it can hold, or not at all; clients that are turned away, or not served, come again.
type town struct {
	t       testing.TB
	w       *Controller
	rng     *rand.Rand
	now     time.Duration
	room    int     // requests that the fleet can hold at the usual speed; 0: it is silent
	rate    float64 // first tries a second
	tries   int
	pause   time.Duration // of clients before they come again; 0: when they were told to
	marked  bool
	fails   float64 // share of what is sent
	tenant  func() int
	next    int
	holds   int
	agenda  map[time.Duration][]func()
	asked   [2][2]int // by class, first tries and repeats
	inTime  [2]int
	turned  [2][2]int
	byPlace [2]int // turned away, by tenant
	states  map[State]bool
}

func newTown(t testing.TB) *town {
	return &town{t: t, w: New(options()), rng: rand.New(rand.NewPCG(1, 1)), now: time.Second, room: 60, rate: 150, tries: 3,
		marked: true, tenant: func() int { return 0 }, agenda: map[time.Duration][]func(){}, states: map[State]bool{}}
}

// pass lets clients send for a time, in steps of a millisecond.
func (c *town) pass(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += ms {
		todo := c.agenda[c.now]
		delete(c.agenda, c.now)
		for _, do := range todo {
			do()
		}
		for x := c.rate / 1000; x > 0 && c.rng.Float64() < x; x-- {
			c.next++
			class := 0
			if c.rng.Float64() < 0.33 {
				class = 1
			}
			c.ask(class, c.tenant(), fmt.Sprint(c.next), 1)
		}
		c.states[c.w.Counts().State] = true
	}
}

func (c *town) after(d time.Duration, do func()) {
	c.agenda[c.now+max(ms, d.Round(ms))] = append(c.agenda[c.now+max(ms, d.Round(ms))], do)
}

func (c *town) ask(class, tenant int, key string, try int) {
	again := min(try-1, 1)
	c.asked[class][again]++
	p, told := c.w.Arrive(c.now, Request{Class: class, Tenant: tenant, Key: key, IsRetry: try > 1 && c.marked, Deadline: c.now + 2*time.Second})
	comeAgain := func(after time.Duration) {
		if c.pause > 0 {
			after = c.pause
		}
		if try < c.tries {
			c.after(after, func() { c.ask(class, tenant, key, try+1) })
		}
	}
	if p == nil {
		if told.RetryAfter <= 0 || told.RetryAfter > time.Second {
			c.t.Errorf("told to come back after %v", told.RetryAfter)
		}
		c.turned[class][again]++
		c.byPlace[tenant]++
		comeAgain(told.RetryAfter)
		return
	}
	if c.room == 0 {
		c.after(2*time.Second, func() { c.w.Done(c.now, p, OutcomeFailed); comeAgain(100 * ms) })
		return
	}
	c.holds++
	took := time.Duration(float64(200*ms) * max(1, float64(c.holds)/float64(c.room)))
	c.after(took, func() {
		c.holds--
		if c.rng.Float64() < c.fails {
			c.w.Done(c.now, p, OutcomeFailed)
			comeAgain(100 * ms)
			return
		}
		c.w.Done(c.now, p, OutcomeServed)
		if took <= 600*ms {
			c.inTime[class]++
		}
	})
}

// begin forgets the counts so far.
func (c *town) begin() {
	c.asked, c.turned, c.inTime, c.byPlace, c.states = [2][2]int{}, [2][2]int{}, [2]int{}, [2]int{}, map[State]bool{}
}

// Whatever comes: in calm nobody is turned away; one that must not be refused never is; what is in flight counts back to
// zero, and nothing is held for what has ended.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w, now := New(options()), time.Second
		var open []*Permit
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				a := Request{Class: rapid.IntRange(0, 1).Draw(rt, "class"), Tenant: rapid.IntRange(-1, 2).Draw(rt, "tenant"),
					Key: rapid.StringMatching(`[a-e]?`).Draw(rt, "key"), IsRetry: rapid.Bool().Draw(rt, "again"),
					MayHaveRun: rapid.Bool().Draw(rt, "bound"), Deadline: now + time.Duration(rapid.IntRange(1, 2000).Draw(rt, "patience"))*ms}
				p, told := w.Arrive(now, a)
				if p == nil && (a.MayHaveRun || w.Counts().State == Normal || told.RetryAfter <= 0 || told.RetryAfter > time.Second) {
					rt.Fatalf("%+v is turned away in %v until %v", a, w.Counts().State, told.RetryAfter)
				}
				if p != nil {
					open = append(open, p)
				}
			},
			"done": func(rt *rapid.T) {
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(rt, "which")
					w.Done(now, open[i], Outcome(rapid.IntRange(0, 3).Draw(rt, "end")))
					w.Done(now, open[i], OutcomeFailed) // a second word does not count
					open = append(open[:i], open[i+1:]...)
				}
			},
			"pass": func(rt *rapid.T) { now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "time")) * ms },
			"": func(rt *rapid.T) {
				if c := w.Counts(); c.InFlight < 0 || c.InFlight > len(open) || c.Limit < 0 || w.unserved.Len() > 256 {
					rt.Fatalf("%+v with %d open", c, len(open))
				}
			},
		})
		for _, p := range open {
			w.Done(now, p, OutcomeServed)
		}
		w.look(now + time.Second)
		if c := w.Counts(); c.InFlight != 0 || len(w.queue) != 0 {
			rt.Fatalf("left: %+v, %d in the queue", c, len(w.queue))
		}
	})
}

// An outage and the return at two fifths of the room, with clients that come again at once: the storm is noticed, next to
// nothing that must not run twice is lost in the outage, refunds are served first when the fleet is back, and it ends calm.
func TestOutage(t *testing.T) {
	for _, marked := range []bool{true, false} {
		for _, pause := range []time.Duration{0, 100 * ms} {
			c := newTown(t)
			c.marked, c.pause = marked, pause
			c.pass(10 * time.Second)
			if c.w.counts.Overloads > 0 || c.turned != [2][2]int{} {
				t.Fatalf("a storm in calm: %+v", c.w.Counts())
			}
			room := c.room
			c.room = 0
			c.pass(2 * time.Second)
			c.begin()
			c.pass(10 * time.Second)
			if s := c.w.Counts(); s.State != Overloaded {
				t.Errorf("the outage is taken for %v", s.State)
			}
			if in := c.asked[1][0] - c.turned[1][0]; in > 20 { // repeats of what may have run are let in, as they must be
				t.Errorf("%d new refunds were sent to a fleet that does not answer", in)
			}
			c.room = 2 * room / 5
			c.pass(2 * time.Second)
			c.begin()
			c.pass(4 * time.Second)
			refunds, checks := float64(c.inTime[1])/float64(c.asked[1][0]), float64(c.inTime[0])/float64(c.asked[0][0])
			if refunds < 0.9 || checks > refunds {
				t.Errorf("back at two fifths: %.2f of the refunds in time, %.2f of the checks", refunds, checks)
			}
			c.room = room
			c.pass(10 * time.Second)
			c.begin()
			c.pass(5 * time.Second)
			if s := c.w.Counts(); s.State != Normal || c.inTime[0]+c.inTime[1] < (c.asked[0][0]+c.asked[1][0])*9/10 {
				t.Errorf("after it: %+v, %v in time of %v", s, c.inTime, c.asked)
			}
		}
	}
}

// What looks like a storm and is none.
func TestNoStorm(t *testing.T) {
	for name, change := range map[string]func(*town){
		"a rise of load with no repeats":                   func(c *town) { c.rate, c.room, c.tries = 450, 90, 1 },
		"half of everything fails, and nobody comes again": func(c *town) { c.fails, c.tries = 0.5, 1 },
		"a quiet agent": func(c *town) { c.rate, c.room = 0.05, 0 },
		"repeats of what is served": func(c *town) {
			c.room = 120
			for i := range 2000 {
				c.after(time.Duration(i)*5*ms, func() { c.ask(0, 0, "popular", 2) })
			}
		},
		"the clock leaps": func(c *town) {
			c.pass(time.Second)
			c.agenda = map[time.Duration][]func(){}
			c.holds = 0
			c.now += time.Hour
		},
	} {
		c := newTown(t)
		c.pass(5 * time.Second)
		change(c)
		c.pass(15 * time.Second)
		if s := c.w.Counts(); s.Overloads > 0 || c.turned != [2][2]int{} {
			t.Errorf("%s: %+v, turned away %v", name, s, c.turned)
		}
	}
}

// In a storm of one desk's making the other one's requests are not those that are turned away.
func TestOneDesksStorm(t *testing.T) {
	c := newTown(t)
	c.pass(5 * time.Second)
	c.tries, c.pause, c.rate, c.room = 8, 50*ms, 400, 60
	c.tenant = func() int { return min(1, c.rng.IntN(10)) ^ 1 } // one in ten is of tenant 1
	c.pass(3 * time.Second)
	c.begin()
	c.pass(10 * time.Second)
	busy, quiet := c.byPlace[0], c.byPlace[1]
	if c.w.counts.Overloads == 0 || quiet*9 >= busy {
		t.Errorf("turned away: %d of the busy desk, %d of the quiet one with a ninth of the requests; %+v", busy, quiet, c.w.Counts())
	}
}

// A repeat of what may have run is let in where others are turned away. One refusal explains one repeat: the many who ask
// for the same form are no repeats of the one that was turned away.
func TestRepeatsOfWhatMayHaveRun(t *testing.T) {
	c := newTown(t)
	c.pass(3 * time.Second)
	c.room = 0
	c.pass(5 * time.Second)
	p, _ := c.w.Arrive(c.now, Request{Class: 1, Key: "r", MayHaveRun: true, Deadline: c.now + time.Second})
	if p == nil || c.w.Counts().State == Normal {
		t.Fatalf("in %v what may have run was turned away", c.w.Counts().State)
	}
	c.w.Done(c.now, p, OutcomeFailed)
	for i := range 1000 { // what is turned away pushes nothing out that may have run
		c.w.Arrive(c.now, Request{Class: 1, Key: fmt.Sprint("flood", i), Deadline: c.now + time.Second})
	}
	for i, key := range append(slices.Repeat([]string{"r"}, 30), "other") { // so many that no budget for repeats is left
		if p, _ := c.w.Arrive(c.now, Request{Class: 1, Key: key, IsRetry: true, Deadline: c.now + time.Second}); (p != nil) != (key == "r") {
			t.Errorf("%d: %s is let in: %v", i, key, p != nil)
		}
	}
	c.begin()
	again := c.w.again
	for range 20 {
		c.w.Arrive(c.now, Request{Class: 0, Key: "popular", Deadline: c.now + time.Second})
	}
	if got := c.w.again - again; got > 19 || got < 1 || c.w.unserved.Len() > 256 {
		t.Errorf("%v of 20 that ask for one form count as repeats", got)
	}
}

// Those who are turned away together are not told to come back together.
func TestReturnsAreSpread(t *testing.T) {
	c := newTown(t)
	c.pass(3 * time.Second)
	c.room = 0
	c.pass(5 * time.Second)
	in := map[time.Duration]int{}
	for range 400 {
		if p, told := c.w.Arrive(c.now, Request{Class: 1, Deadline: c.now + time.Second}); p == nil {
			in[told.RetryAfter.Truncate(50*ms)]++
		}
	}
	for at, n := range in {
		if n > 80 || at < 450*ms {
			t.Errorf("%d of 400 are told to come back in the 50 ms from %v", n, at)
		}
	}
}

// A class that comes while the watch runs has its place by its worth, and one that goes gives way to all.
func TestClassesThatComeAndGo(t *testing.T) {
	w := New(Options{Classes: []Class{{Priority: 1, LatencyObjective: time.Second, Idempotent: true}, {Priority: 10, LatencyObjective: time.Second}}, MaxRemembered: 10})
	if w.filled[1] != 1 || w.filled[0] >= 1 {
		t.Fatalf("parts of the limit %v", w.filled)
	}
	w.Retune([]Class{{Priority: 0, LatencyObjective: time.Second, Idempotent: true}, {Priority: 10, LatencyObjective: time.Second}, {Priority: 100, LatencyObjective: time.Second}})
	if w.filled[2] != 1 || w.filled[1] >= 1 || w.filled[0] >= w.filled[1] {
		t.Errorf("parts of the limit %v", w.filled)
	}
	p, _ := w.Arrive(time.Second, Request{Class: 2, Deadline: 2 * time.Second})
	w.Done(time.Second, p, OutcomeServed)
	if n := len(w.Counts().Rejected); n != 3 {
		t.Errorf("%d classes are counted", n)
	}
}
