package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

// sharedListGrace is for how long behind the yes of a new process a server may still get requests that another process was told to leave alone: 2 s
// until it counts as told, and 0.5 s.
const sharedListGrace = 2500 * time.Millisecond

// installTold starts an agent that discovery has told of a drain, behind a configuration that knows the server as ready. Discovery is silent then.
func installTold(t *testing.T, config func(discovery, known string) []byte) (in *installation, old *version) {
	in = install(t)
	known := in.list(1, "Ready")
	in.config = func(discovery string) []byte { return config(discovery, known) }
	old = in.ready(in.start(in.disco.Addr().String()))
	in.setState(2, "Terminating")
	agenttest.Eventually(t, "the drain is known, and stored some milliseconds later", func() bool { return old.log.Count("version=2") > 0 && in.hasStored(2) })
	in.disco.Silence(true)
	return in, old
}

// hasStored reports whether a list of that version is in the file for a process that starts when no other one lives.
func (in *installation) hasStored(version int) bool {
	names, err := filepath.Glob(filepath.Join(in.dir, "appleledge-*.list"))
	if err != nil || len(names) != 1 {
		return false
	}
	text, err := os.ReadFile(names[0])
	return err == nil && strings.Contains(string(text), fmt.Sprintf(`"version":%d,`, version))
}

// list returns a whole list as JSON, with the first server in a state.
func (in *installation) list(version int, state string) string {
	return agenttest.ListText(version, true, in.entries(state)...)
}

func (in *installation) entries(state string) []string {
	return []string{agenttest.EntryText("s-1", in.one.Addr().String(), state, 0), agenttest.EntryText("s-2", in.two.Addr().String(), "Ready", 0)}
}

func (in *installation) setState(version int, state string) {
	in.disco.Set(version, true, in.entries(state)...)
}

// reload gives a process another discovery by SIGHUP.
func (in *installation) reload(v *version, discovery string) {
	in.t.Helper()
	before := v.log.Count("configuration reloaded")
	if err := os.WriteFile(v.config, in.configText(discovery), 0o600); err != nil {
		in.t.Fatal(err)
	}
	besteffort.Ignore(v.Process.Signal(syscall.SIGHUP))
	agenttest.Eventually(in.t, "the file is taken", func() bool { return v.log.Count("configuration reloaded") > before })
}

func (in *installation) kill(v *version) {
	besteffort.Ignore(v.Process.Kill())
	besteffort.Ignore(<-v.ended)
}

// wantNothingToDraining sends requests and wants none at the first server.
func (in *installation) wantNothingToDraining(what string) {
	in.t.Helper()
	before, others := in.one.Requests(), in.two.Requests()
	in.askFor(400 * time.Millisecond)
	if got := in.one.Requests() - before; got > 0 || in.two.Requests() == others {
		in.t.Errorf("%s: %d requests went to the server that drains, %d to the other", what, got, in.two.Requests()-others)
	}
}

// Failure: the new process of an upgrade sent requests to a server of which the old one had been told that it drains, while discovery was silent. Any
// number of processes in any order, ended or killed, told by SIGHUP's discovery or one that is asked: none does, at its yes already.
func TestUpgradeKeepsWhatTheAgentWasTold(t *testing.T) {
	onDemand := func(discovery, known string) []byte {
		text := string(agenttest.ConfigText(discovery, known))
		return []byte(strings.Replace(text, `"Discovery":"automatic"`, `"Discovery":"subscribe"`, 1))
	}
	newerKnown := func(discovery, known string) []byte { // of a discovery that counted from higher versions
		return agenttest.ConfigText(discovery, strings.Replace(known, `"version":1`, `"version":99`, 1))
	}
	for name, c := range map[string]struct {
		config func(discovery, known string) []byte
		play   func(in *installation, old *version)
	}{
		"the old one is ended": {agenttest.ConfigText, func(in *installation, old *version) {
			in.ready(in.start(in.disco.Addr().String()))
			in.wantNothingToDraining("both")
			in.retire(old)
			in.wantNothingToDraining("the new one")
		}},
		"asked": {onDemand, func(in *installation, old *version) {
			in.ready(in.start(in.disco.Addr().String()))
			in.retire(old)
			in.wantNothingToDraining("the new one")
		}},
		"a known list with a higher version": {newerKnown, func(in *installation, old *version) {
			in.ready(in.start(in.disco.Addr().String()))
			in.retire(old)
			in.wantNothingToDraining("the new one")
		}},
		"the old one is killed before the yes": {agenttest.ConfigText, func(in *installation, old *version) {
			next := in.start(in.disco.Addr().String())
			in.kill(old)
			in.ready(next)
			in.wantNothingToDraining("the new one")
		}},
		"the old one is killed before the new one starts": {agenttest.ConfigText, func(in *installation, old *version) {
			in.kill(old)
			in.listen = "" // its socket has ended with it
			in.ready(in.start(in.disco.Addr().String()))
			in.wantNothingToDraining("the new one")
		}},
		"the old one has ended before the new one starts, and that is killed": {onDemand, func(in *installation, old *version) {
			in.retire(old)
			in.listen = ""
			in.kill(in.ready(in.start(in.disco.Addr().String())))
			in.listen = ""
			in.ready(in.start(in.disco.Addr().String()))
			in.wantNothingToDraining("the third")
		}},
		"a list on disk by [recovery], from before": {agenttest.ConfigText, func(in *installation, old *version) {
			settings := filepath.Join(in.dir, "own.toml")
			text := fmt.Sprintf("[recovery]\ndir = %q\n", filepath.Join(in.dir, "recovery"))
			if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
				in.t.Fatal(err)
			}
			next := in.ready(in.start(in.disco.Addr().String(), "-settings", settings))
			in.retire(old)
			in.wantNothingToDraining("the new one")
			in.kill(next)
			in.listen = ""
			in.ready(in.start(in.disco.Addr().String(), "-settings", settings))
			in.wantNothingToDraining("the third")
		}},
		"three, the first and second are killed": {agenttest.ConfigText, func(in *installation, old *version) {
			second := in.start(in.disco.Addr().String())
			in.kill(old)
			third := in.start(in.disco.Addr().String())
			in.kill(second)
			in.ready(third)
			in.wantNothingToDraining("the third")
		}},
		"three beside each other": {agenttest.ConfigText, func(in *installation, old *version) {
			second, third := in.start(in.disco.Addr().String()), in.start(in.disco.Addr().String())
			in.ready(second)
			in.retire(old)
			in.ready(third)
			in.retire(second)
			in.wantNothingToDraining("the third")
		}},
		"the old one was told by another discovery behind SIGHUP": {agenttest.ConfigText, func(in *installation, old *version) {
			in.disco.Silence(false)
			in.setState(3, "Ready")
			next := agenttest.NewDiscovery(in.t, 1, in.entries("Terminating")...)
			in.reload(old, next.Addr().String())
			agenttest.Eventually(in.t, "the other discovery is heard", func() bool { return old.log.Count(`msg="list of backends" agent=n0 version=1`) > 1 })
			next.Silence(true)
			in.ready(in.start(next.Addr().String()))
			in.retire(old)
			in.wantNothingToDraining("the new one")
		}},
		"SIGHUP to another discovery, which is silent, and a kill": {onDemand, func(in *installation, old *version) {
			next := agenttest.NewDiscovery(in.t, 1, in.entries("Ready")...)
			next.Silence(true)
			in.reload(old, next.Addr().String())
			in.kill(old)
			in.listen = ""
			in.ready(in.start(next.Addr().String()))
			in.wantNothingToDraining("the new one")
		}},
		"the other one is told, in either direction": {agenttest.ConfigText, func(in *installation, old *version) {
			other := agenttest.NewDiscovery(in.t, 1, in.entries("Ready")...)
			next := in.ready(in.start(other.Addr().String()))
			in.disco.Silence(false)
			agenttest.Eventually(in.t, "the new one's discovery counts in both", func() bool { return old.log.Count(`msg="list of another process of the agent" agent=n0 version=1`) > 0 })
			other.Set(2, true, in.entries("Terminating")...)
			agenttest.Eventually(in.t, "the old one knows", func() bool { return old.log.Count(`msg="list of another process of the agent" agent=n0 version=2`) > 0 })
			other.Silence(true)
			in.wantNothingToDraining("both")
			in.kill(next)
			in.setState(4, "Terminating")
			in.wantNothingToDraining("the old one, alone again")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, old := installTold(t, c.config)
			c.play(in, old)
		})
	}
}

// The new process takes over what is better than what it was configured with, too: a server that it did not know serves, and changes go on from there.
func TestUpgradeKnowsServersThatWereListedSince(t *testing.T) {
	in := install(t)
	in.config = func(discovery string) []byte {
		return agenttest.ConfigText(discovery, agenttest.ListText(1, true, agenttest.EntryText("s-gone", agenttest.Refusing(t), "Ready", 0)))
	}
	old := in.ready(in.start(in.disco.Addr().String()))
	in.disco.Silence(true)
	in.ready(in.start(in.disco.Addr().String()))
	in.retire(old)
	before := in.one.Requests() + in.two.Requests()
	in.askFor(200 * time.Millisecond)
	if in.one.Requests()+in.two.Requests() == before {
		t.Error("no request was served")
	}
	in.setState(2, "Terminating")
	in.disco.Silence(false)
	time.Sleep(sharedListGrace)
	in.wantNothingToDraining("when discovery is back")
}
