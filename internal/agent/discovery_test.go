package agent

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"appleledge/logic"
)

// follower is a discovery client whose events a test reads.
func follower(t *testing.T, url string, log io.Writer) (*discovery, chan event) {
	t.Helper()
	cfg, err := parseConfig(configText(url, "null"), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	events := make(chan event, 100)
	return newDiscovery(cfg, newClock(), func(ev event) { events <- ev }, slog.New(slog.NewTextHandler(log, nil))), events
}

// follow runs it until the test ends.
func follow(t *testing.T, d *discovery) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { d.run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
}

func next(t *testing.T, events chan event) listed {
	t.Helper()
	select {
	case ev := <-events:
		return ev.(listed)
	case <-time.After(patience):
		t.Fatal("no list came")
	}
	return listed{}
}

func TestFollowsChanges(t *testing.T) {
	f := newFakeDiscovery(t, 41, entryText("s-1", "127.0.0.1:1", "Ready", 0), entryText("s-2", "127.0.0.1:2", "Ready", 5))
	d, events := follower(t, f.Addr().String(), io.Discard)
	follow(t, d)
	if l := next(t, events); !l.full || len(l.members) != 2 || l.members[0].addr != "127.0.0.1:1" || l.members[1].Started == 0 ||
		l.members[0].Started != 0 {
		t.Errorf("%+v", l)
	}
	f.set(43, false, entryText("s-1", "127.0.0.1:1", "Terminating", 0))
	if l := next(t, events); l.full || len(l.members) != 1 || l.members[0].State != logic.Draining {
		t.Errorf("%+v", l)
	}
	f.set(44, false, entryText("s-1", "", "Gone", 0))
	if l := next(t, events); l.full || len(l.members) != 1 || l.members[0].State != logic.Gone {
		t.Errorf("%+v", l)
	}
	if wholes, _ := f.calls(); wholes != 1 {
		t.Errorf("%d calls for the whole list", wholes)
	}
}

// Watches go on back to back: a later call would be a new watch, and what changed meanwhile might be missed.
func TestWatchesGoOn(t *testing.T) {
	f := newFakeDiscovery(t, 1, entryText("s-1", "127.0.0.1:1", "Ready", 0))
	d, events := follower(t, f.Addr().String(), io.Discard)
	follow(t, d)
	next(t, events)
	eventually(t, "a second watch", func() bool { _, n := f.calls(); return n > 1 })
	if len(events) > 0 {
		t.Error("a watch without news brought some")
	}
}

// In an outage the last list stands; the silence is noticed, and the first list after it is a whole one.
func TestOutage(t *testing.T) {
	f := newFakeDiscovery(t, 1, entryText("s-1", "127.0.0.1:1", "Ready", 0))
	var log lockedBuffer
	d, events := follower(t, f.Addr().String(), &log)
	follow(t, d)
	next(t, events)
	f.silence(true)
	eventually(t, "the silence is noticed", func() bool { return log.count("out of reach") == 1 })
	if len(events) > 0 {
		t.Errorf("the outage changed the list: %+v", <-events)
	}
	f.set(5, true, entryText("s-2", "127.0.0.1:2", "Ready", 0))
	f.silence(false)
	if l := next(t, events); !l.full || len(l.members) != 1 || l.members[0].ID != "s-2" {
		t.Errorf("%+v", l)
	}
	if log.count("discovery is back") != 1 {
		t.Error("its end is not in the log")
	}
}

// An older list than the one held, such as a late answer or an agent restored from a newer one, changes nothing.
func TestVersionsOnlyGoForward(t *testing.T) {
	d, events := follower(t, refusing(t), io.Discard)
	takes := func(text string, whole bool) error {
		t.Helper()
		l, err := parseList([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return d.take(l, whole)
	}
	ready := entryText("s-1", "127.0.0.1:1", "Ready", 0)
	for _, step := range []struct {
		text   string
		whole  bool
		fails  bool
		events int
	}{
		{listText(7, true, ready), true, false, 1},
		{listText(6, true, ready), true, false, 0},
		{listText(7, false, ready), false, false, 0},
		{listText(6, false, ready), false, true, 0},
		{listText(9, false, ready), true, true, 0},
		{listText(9, false, ready), false, false, 1},
	} {
		if err := takes(step.text, step.whole); (err != nil) != step.fails {
			t.Errorf("%s: %v", step.text, err)
		}
		if len(events) != step.events {
			t.Errorf("%s: %d events", step.text, len(events))
		}
		for len(events) > 0 {
			<-events
		}
	}
	if d.version != 9 {
		t.Errorf("version %d", d.version)
	}
}

// After a restart discovery's list comes before the known one, which may name what has gone; the known one is used
// where discovery does not answer, and any list from discovery is newer then, whatever its version.
func TestKnownListIsTheSecondChoice(t *testing.T) {
	f := newFakeDiscovery(t, 3, entryText("s-new", "127.0.0.1:1", "Ready", 0))
	known, err := parseList([]byte(listText(41, true, entryText("s-old", "127.0.0.1:2", "Ready", 0))))
	if err != nil {
		t.Fatal(err)
	}
	for name, ids := range map[string][]string{"answers": {"s-new"}, "is silent at first": {"s-old", "s-new"}} {
		d, events := follower(t, f.Addr().String(), io.Discard)
		d.known = known
		f.silence(len(ids) > 1)
		follow(t, d)
		for _, want := range ids {
			if l := next(t, events); len(l.members) != 1 || l.members[0].ID != want {
				t.Errorf("%s: %+v, want %s", name, l, want)
			}
			f.silence(false)
		}
	}
}

// A malformed entry neither spoils the list nor takes its backend from it, and is logged once.
func TestMalformedEntries(t *testing.T) {
	var log lockedBuffer
	d, events := follower(t, refusing(t), &log)
	for i, entries := range [][]string{
		{entryText("s-1", "127.0.0.1:1", "Ready", 0), entryText("s-2", "127.0.0.1:2", "Ready", 0)},
		{entryText("s-1", "127.0.0.1:1", "Asleep", 0), entryText("s-3", "no address", "Ready", 0), `{"id":9}`, `"x"`,
			entryText("s-4", "127.0.0.1:4", "Ready", 0)},
	} {
		l, err := parseList([]byte(listText(i, true, entries...)))
		if err != nil {
			t.Fatal(err)
		}
		if err := d.take(l, true); err != nil {
			t.Fatal(err)
		}
	}
	<-events
	var ids []string
	for _, m := range next(t, events).members {
		ids = append(ids, m.ID)
	}
	if got := strings.Join(ids, " "); got != "s-1 s-4" {
		t.Errorf("the list is %q", got)
	}
	if n := log.count("malformed"); n != 1 {
		t.Errorf("%d lines in the log", n)
	}
}

// Where the list must be asked for, the module says when; a failed call is told to it.
func TestAskedDiscovery(t *testing.T) {
	d, events := follower(t, refusing(t), io.Discard)
	d.asked = true
	follow(t, d)
	d.ask()
	select {
	case ev := <-events:
		if _, ok := ev.(listUnavailable); !ok {
			t.Errorf("%+v", ev)
		}
	case <-time.After(patience):
		t.Fatal("the failure was not told")
	}
}
