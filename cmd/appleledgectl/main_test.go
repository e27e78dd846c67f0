package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/admin"
	"appleledge/internal/affinity"
	"appleledge/internal/affinity/bindinglog"
	"appleledge/internal/agent"
	"appleledge/internal/agenttest"
	"appleledge/internal/atomicfile"
	"appleledge/internal/besteffort"
	"appleledge/internal/boottime"
	"appleledge/internal/cli"
	"appleledge/internal/generation"
	"appleledge/internal/plan"
	"appleledge/internal/settings"
)

// TestMain lets the test binary stand in for the agent, in a process of its own that can be killed.
func TestMain(m *testing.M) {
	if os.Getenv("APPLELEDGE_AS_AGENT") != "" {
		cli.Main("appleledge", func(settings.File) (agent.Features, error) { return agent.Features{}, nil })
		return
	}
	os.Exit(m.Run())
}

// installation is an agent in a process of its own, with the files of its operators.
type installation struct {
	dir, socket string
	disco       *agenttest.Discovery
	program     *exec.Cmd
}

func install(t *testing.T) *installation {
	t.Helper()
	x := &installation{dir: t.TempDir()}
	x.socket = filepath.Join(x.dir, "s")
	x.disco = agenttest.NewDiscovery(t, 1, agenttest.EntryText("s-1", "127.0.0.1:1", "Ready", 0), agenttest.EntryText("s-2", "127.0.0.1:2", "Ready", 0))
	x.write(t, "config.json", string(agenttest.ConfigText(x.disco.Addr().String(), "null")))
	x.write(t, "own.toml", fmt.Sprintf("[generations]\nsocket = %q\nstate = %q\n", x.socket, filepath.Join(x.dir, "state")))
	x.start(t)
	return x
}

func (x *installation) write(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join(x.dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// start starts the agent and waits until it answers operators and has heard of its servers.
func (x *installation) start(t *testing.T) {
	t.Helper()
	x.program = exec.Command(os.Args[0], "-settings", filepath.Join(x.dir, "own.toml"))
	x.program.Env = append(os.Environ(), "APPLELEDGE_AS_AGENT=1", "PROXY_CONFIG="+filepath.Join(x.dir, "config.json"))
	if err := x.program.Start(); err != nil {
		t.Fatal(err)
	}
	started := x.program
	t.Cleanup(func() { besteffort.Ignore(started.Process.Kill()); besteffort.Ignore(started.Wait()) })
	agenttest.Eventually(t, "the agent answers", func() bool {
		var s admin.Status
		return json.Unmarshal([]byte(x.try("status", "--json").out), &s) == nil && s.ServerCount == 2
	})
}

// result is how a command ended.
type result struct {
	code     int
	out, err string
}

func (x *installation) try(args ...string) result {
	var out, errs bytes.Buffer
	code := run(context.Background(), append(args, "--socket", x.socket, "--by", "tester"), &console{in: strings.NewReader(""), out: &out, err: &errs})
	return result{code, out.String(), errs.String()}
}

func (x *installation) path(name string) string { return filepath.Join(x.dir, name) }

const (
	drains = "drain \"one\" {\n  ids = [var.server]\n}\nvariable \"server\" {\n  default = \"s-1\"\n}\n"
	limits = "limit \"checks\" {\n  class = \"form-check\"\n  rate  = 100\n  burst = 10\n}\n"
)

// The commands of a day, one after the other: exit codes and what they say.
func TestTheCommandsOfADay(t *testing.T) {
	x := install(t)
	x.write(t, "fleet/a.hcl", drains)
	x.write(t, "fleet/b.hcl", limits)
	x.write(t, "wrong/a.hcl", "drain \"one\" {\n  ids = [s-1]\n}\n")
	x.write(t, "strange/a.hcl", "limit \"x\" {\n  tenant = \"nobody\"\n  rate = 1\n  burst = 1\n}\n")
	fleet, file := x.path("fleet"), x.path("change.plan")
	for i, step := range []struct {
		args []string
		code int
		want string // in what it writes
	}{
		{[]string{"validate", fleet}, exitOK, "is right: 0 pools, 0 routes, 1 limits, 1 drains"},
		{[]string{"validate", x.path("wrong")}, exitError, "a.hcl line 2"},
		{[]string{"validate", x.path("wrong"), "--json"}, exitError, `"line": 2`},
		{[]string{"validate", x.path("strange")}, exitError, "there are: glasgow-airport, lerwick-port"},
		{[]string{"validate", x.path("nowhere")}, exitError, "no such file"},
		{[]string{"plan", fleet, "--var", "servr=s-2"}, exitError, "no variable block has that name"},
		{[]string{"plan", fleet}, exitOK, "Plan: 2 to create, 0 to update, 0 to delete."},
		{[]string{"plan", fleet, "--detailed-exitcode", "-o", file}, exitChanges, "drains s-1"},
		{[]string{"plan", fleet}, exitOK, "! takes-capacity: takes 50% of capacity"},
		{[]string{"show", file}, exitOK, "servers 2 -> 1, capacity 50% of before"},
		{[]string{"apply", file}, exitError, "there is no terminal to ask on"},
		{[]string{"apply", file, "--auto-approve", "--why", "ticket 1"}, exitOK, "Generation 1"},
		{[]string{"apply", file, "--auto-approve"}, exitError, "generation 1"},
		{[]string{"status"}, exitOK, "2, 1 of them drained by the configuration"},
		{[]string{"plan", fleet, "--detailed-exitcode"}, exitOK, "No changes."},
		{[]string{"plan", fleet, "--var", "server=s-2", "-o", file}, exitOK, `~ ids = ["s-1"] -> ["s-2"]`},
		{[]string{"diff", fleet, file}, exitChanges, "~ drain"},
		{[]string{"diff", fleet, fleet}, exitOK, ""},
		{[]string{"apply", file, "--auto-approve"}, exitError, "still being watched"},
		{[]string{"lock"}, exitOK, "tester holds the lock for 300 s"},
		{[]string{"rollback", "--why", "a try"}, exitOK, "Generation 2"},
		{[]string{"rollback"}, exitError, "no generation to go back to"},
		{[]string{"history"}, exitOK, "rolled back  tester  a try"},
		{[]string{"show"}, exitOK, `"config": {}`},
		{[]string{"completion", "bash"}, exitOK, "appleledgectl"},
		{[]string{"plan"}, exitError, "accepts 1 arg"},
	} {
		got := x.try(step.args...)
		if got.code != step.code || !strings.Contains(got.out+got.err, step.want) {
			t.Fatalf("step %d, %v: exit code %d, want %d with %q:\n%s%s", i, step.args, got.code, step.code, step.want, got.out, got.err)
		}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	x.write(t, "change.plan", strings.Replace(string(data), `"share": 1`, `"share": 0.5`, 1))
	if got := x.try("show", file); got.code != exitError || !strings.Contains(got.err, plan.ErrAltered.Error()) {
		t.Errorf("an altered plan: %+v", got)
	}
}

// An agent that is killed at random while changes are applied one after the other comes back to the last one that was
// acknowledged or to the one that was under way.
func TestKilledWhileChangesAreApplied(t *testing.T) {
	x := install(t)
	rng := rand.New(rand.NewPCG(7, 7))
	for i := range 2 {
		x.write(t, fmt.Sprint(i, "/a.hcl"), strings.Replace(drains, "s-1", fmt.Sprint("s-", i+1), 1))
	}
	hash := func() (c admin.Config) {
		if err := json.Unmarshal([]byte(x.try("show").out), &c); err != nil {
			t.Fatal(err)
		}
		return c
	}
	came := map[string]int{}
	for round := range 8 {
		acknowledged := hash().Hash
		under := ""
		killed := make(chan struct{})
		at, program := time.Duration(rng.IntN(120))*time.Millisecond, x.program
		go func() { // meanwhile the platform's configuration is read again and again, and the list of servers asked for anew
			defer close(killed)
			for until := time.Now().Add(at); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
				besteffort.Ignore(program.Process.Signal(syscall.SIGHUP))
			}
			besteffort.Ignore(program.Process.Kill())
		}()
		for n := 0; ; n++ {
			var p plan.Plan
			file := x.path("p")
			if json.Unmarshal([]byte(x.try("plan", x.path(fmt.Sprint(n%2)), "--json", "-o", file).out), &p) != nil {
				break
			}
			under = p.TargetHash
			if got := x.try("apply", file, "--auto-approve", "--force"); got.code != exitOK {
				break
			}
			acknowledged = p.TargetHash
		}
		<-killed
		besteffort.Ignore(program.Wait())
		x.start(t)
		switch now := hash().Hash; now {
		case acknowledged:
			came["acknowledged"]++
		case under:
			came["under way"]++
		default:
			t.Fatalf("round %d: came back to %.12s, acknowledged was %.12s, under way %.12s", round, now, acknowledged, under)
		}
		var records []generation.Record
		if err := json.Unmarshal([]byte(x.try("history", "--json").out), &records); err != nil {
			t.Fatal(err)
		}
		if last := records[len(records)-1]; last.Event != generation.EventRestored || last.Hash != hash().Hash {
			t.Fatalf("round %d: the history ends with %+v", round, last)
		}
	}
	t.Logf("came back to %v", came)
}

// What a folder of ties holds, with a damaged file and one of an earlier run of the machine among them.
func TestAffinityCommands(t *testing.T) {
	dir := t.TempDir()
	boot, now, err := boottime.Read()
	if err != nil {
		t.Fatal(err)
	}
	o := bindinglog.Options{Dir: dir, FS: atomicfile.OS{}, Retention: time.Minute, Now: func() time.Duration { return now }, BootID: boot,
		ToBootTime: func(t time.Duration) int64 { return int64(t) }, FromBootTime: func(n int64) time.Duration { return time.Duration(n) }}
	secret, err := bindinglog.LoadOrCreateSecret(o)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range []string{boot, "earlier"} {
		o.BootID = b
		l, err := bindinglog.Open(o)
		if err != nil {
			t.Fatal(err)
		}
		l.Append(affinity.Record{Kind: affinity.RecordBound, Key: secret.Key("refund-" + b[:3]), At: now, Pod: 3})
		if err := errors.Join(l.Flush(), l.Close()); err != nil {
			t.Fatal(err)
		}
	}
	x := &installation{}
	for i, step := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"stat"}, exitOK, "1 began"},
		{[]string{"check"}, exitOK, "2 files, all of it can be read"},
		{[]string{"export"}, exitOK, `"boot":"earlier"`},
		{[]string{"lookup", "refund-ear"}, exitOK, `"pod":3`},
		{[]string{"lookup", "another"}, exitError, "nothing is kept"},
		{[]string{"compact"}, exitOK, "removed"},
		{[]string{"export"}, exitOK, boot},
		{[]string{"lookup", "refund-ear"}, exitError, "nothing is kept"},
	} {
		got := x.try(append([]string{"affinity", "--dir", dir}, step.args...)...)
		if got.code != step.code || !strings.Contains(got.out+got.err, step.want) {
			t.Fatalf("step %d, %v: %+v", i, step.args, got)
		}
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.ties"))
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	data, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)-1] ^= 1
	if err := os.WriteFile(files[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
	if got := x.try("affinity", "--dir", dir, "check"); got.code != exitError || !strings.Contains(got.err, "1 damaged") {
		t.Errorf("%+v", got)
	}
}
