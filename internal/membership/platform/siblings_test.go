package platform

import (
	"io"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/membership/listing"
)

// toldAgo is the list of another process, which a discovery has sent it some time ago.
func toldAgo(t *testing.T, addr string, version int64, ago time.Duration, entries ...string) listing.Told {
	t.Helper()
	l, err := listing.Parse([]byte(agenttest.ListText(int(version), true, entries...)))
	if err != nil {
		t.Fatal(err)
	}
	at := sinceBoot() - ago
	return listing.Told{Origin: listing.Origin{Address: addr, AddressSince: at, AskedAt: at, AnsweredAt: at, Version: version}, Servers: l.Servers}
}

func serverIn(state string) string { return agenttest.EntryText("s-1", "127.0.0.1:1", state, 0) }

// wantState waits for an update of one server that is in a state.
func wantState(t *testing.T, h agenttest.Sink, state balancer.State) {
	t.Helper()
	if u := nextUpdate(t, h); len(u.Members) != 1 || u.Members[0].State != state {
		t.Fatalf("%+v, want state %v", u, state)
	}
}

func wantNoUpdate(t *testing.T, h agenttest.Sink, lasts time.Duration) {
	t.Helper()
	select {
	case u := <-h.Updates:
		t.Fatalf("an update came: %+v", u)
	case <-time.After(lasts):
	}
}

// Failure: the new process of an upgrade went by an old list while the old process had been told of a drain, and discovery was silent. Pushed
// or on demand, with a cached list of any version: the other process' list is in force at once, and discovery's next change goes on from it.
func TestListOfAnotherProcessIsInForceUntilDiscoveryAnswers(t *testing.T) {
	for name, onDemand := range map[string]bool{"pushed": false, "on demand": true} {
		for _, cachedVersion := range []int{1, 99} {
			f := agenttest.NewDiscovery(t, 7, serverIn("Terminating"))
			f.Silence(true)
			d, events := newTestDiscovery(t, f.Addr().String(), io.Discard)
			d.onDemand = onDemand
			cachedList, err := listing.Parse([]byte(agenttest.ListText(cachedVersion, true, serverIn("Ready"))))
			if err != nil {
				t.Fatal(err)
			}
			d.cachedList = cachedList
			d.Subscribe()
			d.Offer(toldAgo(t, f.Addr().String(), 7, time.Minute, serverIn("Terminating")))
			runUntilTestEnds(t, d, events)
			wantState(t, events, balancer.Draining)
			wantNoUpdate(t, events, 2*defaultFirstListTimeout) // the cached list is not used
			f.Set(8, false, serverIn("Ready"))
			f.Silence(false)
			for { // a pushed list is fetched whole first
				u := nextUpdate(t, events)
				if len(u.Members) == 1 && u.Members[0].State == balancer.Ready && u.Version == 8 {
					break
				}
			}
			if o, ok := d.Delivered(); !ok || o.Origin.Version != 8 || o.Origin.AnsweredAt == 0 {
				t.Errorf("%s: delivered %+v", name, o)
			}
		}
	}
}

// While two processes run, either may be told first. The newer list counts in both, whichever way it came.
func TestNewerListOfAnotherProcessCounts(t *testing.T) {
	f := agenttest.NewDiscovery(t, 5, serverIn("Ready"))
	d, events := newTestDiscovery(t, f.Addr().String(), io.Discard)
	told := make(chan struct{}, 100)
	d.OnTold(func() { told <- struct{}{} })
	runUntilTestEnds(t, d, events)
	wantState(t, events, balancer.Ready)
	<-told
	f.Silence(true)
	d.Offer(toldAgo(t, f.Addr().String(), 4, time.Minute, serverIn("Terminating")))
	wantNoUpdate(t, events, 50*time.Millisecond)
	d.Offer(toldAgo(t, f.Addr().String(), 6, 0, serverIn("Terminating")))
	wantState(t, events, balancer.Draining)
	<-told // it is handed on
	d.Offer(toldAgo(t, f.Addr().String(), 6, time.Minute, serverIn("Ready")))
	wantNoUpdate(t, events, 50*time.Millisecond)
	f.Set(7, false, serverIn("Ready"))
	f.Silence(false)
	for u := nextUpdate(t, events); u.Version != 7 || u.Members[0].State != balancer.Ready; u = nextUpdate(t, events) {
		if u.Version < 6 {
			t.Errorf("an older list came back: %+v", u)
		}
	}
}

// A call began before another process was told of a drain, and is answered behind that with the list from before. It is overtaken. A call that
// began later and is answered with a lower version is that of a discovery that counts anew, and its whole list is taken.
func TestAnswerThatAnotherProcessHasOvertakenIsPassedOver(t *testing.T) {
	d, events := newTestDiscovery(t, agenttest.Refusing(t), io.Discard)
	answer := func(version int, full bool, begun time.Time, state string) error {
		l, err := listing.Parse([]byte(agenttest.ListText(version, full, serverIn(state))))
		if err != nil {
			t.Fatal(err)
		}
		d.open.calls = nil
		return d.applyList(d.session, response{process: 1, list: l, call: &call{callRecord: callRecord{number: 1, since: -1, begun: begun}, session: d.session}})
	}
	before := time.Now()
	d.adopt(toldAgo(t, d.addr, 7, 0, serverIn("Terminating")))
	wantState(t, events, balancer.Draining)
	if err := answer(6, true, before, "Ready"); err != nil {
		t.Error(err)
	}
	wantNoUpdate(t, events, time.Millisecond)
	if err := answer(2, true, time.Now().Add(time.Millisecond), "Ready"); err != nil {
		t.Error(err)
	}
	wantState(t, events, balancer.Ready)
}

// One process has read a newer configuration (SIGHUP, or a later start), whose discovery is at another address. What that says counts in both; a
// process that follows the older address goes on by it when it is moved as well, and goes back to its own discovery where the other process
// has ended.
func TestListOfTheDiscoveryThatWasConfiguredLaterCounts(t *testing.T) {
	for name, end := range map[string]func(*Discovery, *agenttest.Discovery){
		"it is moved as well":         func(d *Discovery, next *agenttest.Discovery) { d.SetAddress(next.Addr().String()) },
		"the other process has ended": func(d *Discovery, _ *agenttest.Discovery) { d.SiblingsEnded() },
	} {
		t.Run(name, func(t *testing.T) {
			f, next := agenttest.NewDiscovery(t, 5, serverIn("Ready")), agenttest.NewDiscovery(t, 3, serverIn("Terminating"))
			next.Silence(true)
			d, events := newTestDiscovery(t, f.Addr().String(), io.Discard)
			runUntilTestEnds(t, d, events)
			wantState(t, events, balancer.Ready)
			d.Offer(toldAgo(t, next.Addr().String(), 3, 0, serverIn("Terminating")))
			wantState(t, events, balancer.Draining)
			f.Set(6, false, serverIn("Ready"))
			wantNoUpdate(t, events, 3*pushWatchTimeout)
			end(d, next)
			if name == "it is moved as well" {
				wantNoUpdate(t, events, 2*pushWatchTimeout)
				next.Set(4, false, serverIn("Ready"))
				next.Silence(false)
			}
			agenttest.Eventually(t, "the own discovery counts", func() bool { return nextUpdate(t, events).Members[0].State == balancer.Ready })
		})
	}
}

// The new process is configured with another discovery, which has not answered yet. Until it does, what the old process' discovery tells counts.
func TestListOfTheDiscoveryBeforeCountsUntilTheNewOneAnswers(t *testing.T) {
	next := agenttest.NewDiscovery(t, 1, serverIn("Ready"))
	next.Silence(true)
	offers := []listing.Told{toldAgo(t, "before:1", 40, time.Minute, serverIn("Ready")), toldAgo(t, "before:1", 41, time.Second, serverIn("Terminating"))}
	d, events := newTestDiscovery(t, next.Addr().String(), io.Discard)
	d.Offer(offers[0])
	runUntilTestEnds(t, d, events)
	wantState(t, events, balancer.Ready)
	d.Offer(offers[1])
	wantState(t, events, balancer.Draining)
	next.Silence(false)
	wantState(t, events, balancer.Ready)
	later := toldAgo(t, "before:1", 42, 0, serverIn("Terminating"))
	later.AddressSince = offers[0].AddressSince
	d.Offer(later)
	wantNoUpdate(t, events, 2*pushWatchTimeout)
}

// A process that was started with a newer configuration has ended, and others that have not read it hold each other to its discovery. They go back to
// their own in time.
func TestOtherDiscoveryCountsForABoundedTime(t *testing.T) {
	d, events := newTestDiscovery(t, agenttest.Refusing(t), io.Discard)
	d.adopt(toldAgo(t, "another:1", 7, 0, serverIn("Terminating")))
	wantState(t, events, balancer.Draining)
	d.told.AddressSince = d.since + time.Second
	own := listing.List{Version: 3, Full: true}
	if passedOver, err := d.passesOverOwn(d.session, own); !passedOver || err != nil {
		t.Errorf("at once: %t, %v", passedOver, err)
	}
	held := d.told
	for _, full := range []bool{false, true} {
		d.told = held
		d.told.adoptedAt = time.Now().Add(-maxOtherAddressHold)
		own.Full = full
		if passedOver, err := d.passesOverOwn(d.session, own); passedOver || (err == nil) != full || d.watchVersion != -1 {
			t.Errorf("later, full %t: %t, %v", full, passedOver, err)
		}
	}
}

// A poll is open when the list that it asks for changes of goes out of force: another process was told by a discovery that counts anew, or the
// discovery at another address does not count any more. Its answer is passed over, as the list in force lacks what came before.
func TestChangesOfAListThatIsNotInForceArePassedOver(t *testing.T) {
	for name, c := range map[string]struct {
		before, after func(d *Discovery)
	}{
		"counts anew": {func(*Discovery) {}, func(d *Discovery) {
			d.adopt(toldAgo(t, d.addr, 2, -time.Second, serverIn("Terminating")))
		}},
		"another address": {func(d *Discovery) {
			later := toldAgo(t, "another:1", 2, -time.Second, serverIn("Terminating"))
			later.AddressSince = d.since + time.Second
			d.adopt(later)
		}, func(d *Discovery) { d.SiblingsEnded(); d.handleSiblings() }},
	} {
		t.Run(name, func(t *testing.T) {
			f := agenttest.NewDiscovery(t, 9, serverIn("Ready"))
			d, events := newTestDiscovery(t, f.Addr().String(), io.Discard)
			take := func(since int64, text string) {
				l, err := listing.Parse([]byte(text))
				if err != nil {
					t.Fatal(err)
				}
				record := d.callLog.begin(since, 0, 0, true)
				c.after(d)
				if err := d.applyList(d.session, response{process: 1, list: l, call: &call{callRecord: record, session: d.session}}); err != nil {
					t.Error(err)
				}
			}
			d.adopt(toldAgo(t, d.addr, 9, 0, serverIn("Ready")))
			c.before(d)
			for len(events.Updates) > 0 {
				<-events.Updates
			}
			take(9, agenttest.ListText(10, false, agenttest.EntryText("s-2", "127.0.0.1:2", "Ready", 0)))
			for len(events.Updates) > 0 {
				if u := <-events.Updates; u.Version == 10 {
					t.Errorf("the change counts: %+v", u)
				}
			}
			if d.watchVersion == 10 || d.heldVersion == 10 {
				t.Errorf("changes are asked for from version %d on", d.watchVersion)
			}
		})
	}
}
