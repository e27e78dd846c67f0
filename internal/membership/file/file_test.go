package file

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/engine"
	"appleledge/internal/membership/listing"
)

// A file is created, edited, replaced by a rename, cut off, broken and mended. Each usable text is reported as a whole list; each fault is
// logged once, with its line, and changes nothing.
func TestFileIsFollowedThroughEditsAndFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers.json")
	write := func(text string) {
		t.Helper()
		next := path + ".next"
		if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(next, path); err != nil {
			t.Fatal(err)
		}
	}
	var log agenttest.LockedBuffer
	h := agenttest.NewSink()
	s := &Source{Path: path, PollInterval: 5 * time.Millisecond, Decoder: listing.Decoder{Clock: engine.NewClock()}, Log: slog.New(slog.NewTextHandler(&log, nil))}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx, h) }()
	defer func() { stop(); <-done }()
	update := func(what string, members int) {
		t.Helper()
		select {
		case u := <-h.Updates:
			if !u.Full || len(u.Members) != members {
				t.Fatalf("%s: %+v", what, u)
			}
		case <-time.After(agenttest.Patience):
			t.Fatalf("%s: no update came", what)
		}
	}
	fault := func(what, want string) {
		t.Helper()
		agenttest.Eventually(t, what, func() bool { return log.Count(want) > 0 })
		if len(h.Updates) > 0 {
			t.Fatalf("%s: %+v", what, <-h.Updates)
		}
	}
	one, two := agenttest.EntryText("s-1", "127.0.0.1:1", "Ready", 0), agenttest.EntryText("s-2", "127.0.0.1:2", "Ready", 0)
	fault("no file", "no such file")
	write(agenttest.ListText(1, true, one))
	update("the first", 1)
	write(agenttest.ListText(1, true, one, two)) // no version counts
	update("another", 2)
	write("{\"servers\":\n[" + one + ",\n" + two[:20])
	fault("cut midway", "line 3: unexpected EOF")
	write(agenttest.ListText(2, true, one, agenttest.EntryText("s-3", "no address", "Ready", 0)))
	fault("a bad entry", `server \"s-3\": address no address: missing port`)
	write("{}")
	fault("no servers", "an empty list is written as")
	write(agenttest.ListText(1, true, one, two)) // as before the faults: reported again, which ends the disconnection
	update("mended", 2)
	write(`{"servers":[]}`)
	update("an empty list", 0)
	if n := log.Count("level=WARN"); n > 6 {
		t.Errorf("%d lines of log", n)
	}
}
