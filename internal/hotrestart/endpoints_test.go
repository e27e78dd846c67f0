package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/boottime"
	"appleledge/internal/membership/listing"
)

// tell gives the process a list, as discovery does.
func (h *testHost) tell(version int64) {
	at := time.Duration(version) * time.Second
	h.LearnEndpointList(listing.Told{Origin: listing.Origin{Address: "d:1", AskedAt: at, AnsweredAt: at, Version: version}, Servers: []listing.Entry{{ID: "s-1", State: "Terminating"}}})
}

func (h *testHost) listVersion() int64 {
	if l := h.EndpointList(); l != nil {
		return l.Version
	}
	return 0
}

// adoptInherited takes over, as package agent does, the newest of the lists that the others had at the start.
func (h *testHost) adoptInherited() *testHost {
	for _, l := range h.InheritedEndpointLists() {
		h.LearnEndpointList(l)
	}
	return h
}

func wantVersion(t *testing.T, version int64, processes ...*testHost) {
	t.Helper()
	agenttest.Eventually(t, "all have the list", func() bool {
		for _, p := range processes {
			if p.listVersion() != version {
				return false
			}
		}
		return true
	})
}

// Failure: what one process of an agent had been told of the servers, another one did not know. Any number of processes, told in any order, some of
// which end: each has the newest list, at its start and later.
func TestListReachesEveryProcess(t *testing.T) {
	dir := t.TempDir()
	first := startProcess(t, dir, true)
	second := startProcess(t, dir, false).adoptInherited() // the first has none yet
	first.tell(1)
	wantVersion(t, 1, first, second)
	second.tell(2)
	wantVersion(t, 2, first, second)
	first.end()
	agenttest.Eventually(t, "the second knows that it is alone", func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return second.isAlone
	})
	third := startProcess(t, dir, false).adoptInherited()
	if third.listVersion() != 2 {
		t.Errorf("the third process starts with version %d", third.listVersion())
	}
	fourth := startProcess(t, dir, false).adoptInherited()
	third.tell(3)
	wantVersion(t, 3, second, third, fourth)
	second.end()
	fourth.tell(4)
	wantVersion(t, 4, third, fourth)
}

// A list comes while a process joins, behind the one that was read for it. It reaches that process too.
func TestListDuringJoinReachesJoiningProcess(t *testing.T) {
	dir := t.TempDir()
	old := startProcess(t, dir, true)
	for version := range int64(20) {
		done := make(chan struct{})
		go func() { old.tell(version + 1); close(done) }()
		fresh := startProcess(t, dir, false).adoptInherited()
		<-done
		wantVersion(t, version+1, fresh)
		fresh.end()
	}
}

// A list of thousands of servers changes all the time. The last change arrives, and the processes still answer each other.
func TestLargeListsAreShared(t *testing.T) {
	dir := t.TempDir()
	old := startProcess(t, dir, true)
	fresh := startProcess(t, dir, false)
	for version := range int64(50) {
		l := listing.Told{Origin: listing.Origin{Address: "d:1", AskedAt: time.Duration(version + 1), AnsweredAt: time.Duration(version + 1), Version: version + 1}}
		for range 3200 {
			l.Servers = append(l.Servers, listing.Entry{ID: "s-5be2a07c", Addr: "10.1.0.18:8081", Zone: "edinburgh-dc", Kind: "twin-core", State: listing.StateReady})
		}
		old.LearnEndpointList(l)
		time.Sleep(2 * time.Millisecond)
	}
	wantVersion(t, 50, fresh)
	old.command(t, "a", true)
	if got := fresh.deniedIDs(); len(got) != 1 {
		t.Errorf("denied: %v", got)
	}
}

// Failure: a process that started behind a kill did not know what the agent had been told. It gets the list from the file, also where processes that
// overlapped have ended in any order.
func TestStoredListOutlivesTheProcesses(t *testing.T) {
	dir := t.TempDir()
	first := startProcess(t, dir, true)
	second := startProcess(t, dir, false)
	first.tell(1)
	wantVersion(t, 1, second)
	second.tell(2)
	wantVersion(t, 2, first)
	stored := func(version int64) func() bool {
		return func() bool {
			text, err := os.ReadFile(filepath.Join(dir, first.storedListName()))
			return err == nil && strings.Contains(string(text), fmt.Sprintf(`"version":%d`, version))
		}
	}
	first.end()
	agenttest.Eventually(t, "it is stored", stored(2))
	second.end()
	third := startProcess(t, dir, true)
	if l := third.StoredEndpointList(); l == nil || l.Version != 2 || len(l.Servers) != 1 || l.Address != "d:1" {
		t.Errorf("stored is %+v", l)
	}
	third.tell(3)
	agenttest.Eventually(t, "it is replaced", stored(3))
}

// What is in the file is of another agent or boot, too old, from the future, cut off, no list, or no regular file; a write was cut off. The process
// starts with nothing, and replaces the file.
func TestStoredListThatCannotBeTrustedIsNotUsed(t *testing.T) {
	bootID, now, err := boottime.Read()
	if err != nil {
		t.Fatal(err)
	}
	text := func(agent, boot string, at time.Duration) string {
		return fmt.Sprintf(`{"agent":%q,"boot":%q,"at_ns":%d,"list":{"address":"d:1","answered_ns":1,"version":1,"servers":[{"id":"s-1"}]}}`, agent, boot, at)
	}
	for name, c := range map[string]struct {
		text string
		used bool
	}{
		"good":          {text("n0", bootID, now), true},
		"another agent": {text("n1", bootID, now), false},
		"another boot":  {text("n0", "another", now), false},
		"too old":       {text("n0", bootID, now-maxStoredListAge-time.Second), false},
		"too new":       {text("n0", bootID, now+time.Hour), false},
		"cut off":       {text("n0", bootID, now)[:60], false},
		"empty":         {"", false},
		"a folder":      {"folder", false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			l := newTestLink()
			l.agent = "n0"
			path := filepath.Join(dir, l.storedListName())
			unfinished := filepath.Join(dir, socketPrefix("n0")+"abc"+newListSuffix)
			if err := os.WriteFile(unfinished, []byte("{"), 0o600); err != nil {
				t.Fatal(err)
			}
			if c.text == "folder" {
				err = os.Mkdir(path, 0o700)
			} else {
				err = os.WriteFile(path, []byte(c.text), 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
			p := startProcess(t, dir, true)
			if got := p.StoredEndpointList(); (got != nil) != c.used {
				t.Errorf("used: %+v", got)
			}
			if _, err := os.Stat(unfinished); !errors.Is(err, os.ErrNotExist) {
				t.Errorf("what was not finished is left: %v", err)
			}
		})
	}
}
