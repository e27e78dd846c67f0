package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/agent"
	"appleledge/internal/besteffort"
	"appleledge/internal/cli"
	"appleledge/internal/harness/cluster"
	"appleledge/internal/settings"
)

// TestMain lets the test binary stand in for the program, in a process of its own that takes real signals.
func TestMain(m *testing.M) {
	if os.Getenv(cluster.AsProgram) != "" {
		standIn()
		return
	}
	os.Exit(m.Run())
}

// standIn is main, on a disk that may lose what was not synced.
func standIn() {
	at := os.Getenv(cluster.DiskAt)
	if at == "" {
		main()
		return
	}
	cli.Main("appleledge", func(f settings.File) (agent.Features, error) {
		disk, err := cluster.OpenDisk(at)
		if err != nil {
			return agent.Features{}, err
		}
		with, err := extras(f)
		with.FS = disk
		if err == nil {
			with.ClockOffset, err = time.ParseDuration(os.Getenv(cluster.ClockOff))
		}
		return with, err
	})
}

const config = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":256},"settings":{"Balancers":1,"Me":0,"TickNs":5000000,
 "WeightKind":"silent","Discovery":"automatic","Zones":["z"],"Report":{"Fields":["util"],"Via":"piggyback"},
 "Ceilings":{"ConnIdleNs":15000000000,"ConnectTimeoutNs":5000000000,"MostHeld":10,"MostTries":2},
 "Classes":[{"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"repeatable","Group":"all","Name":"c","Worth":2}]}}`

// SIGHUP, which ends a process that does not handle it, reads the file again, and SIGTERM drains with exit code 0.
func TestSignals(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), "APPLELEDGE_AS_PROGRAM=1", "PROXY_CONFIG="+file)
	log, err := program.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	giveUp := time.AfterFunc(20*time.Second, func() { besteffort.Ignore(program.Process.Kill()) })
	defer giveUp.Stop()
	lines := bufio.NewScanner(log)
	reach := func(text string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Fatalf("the log ended before %q", text)
	}
	reach("listening")
	for range 2 {
		besteffort.Ignore(program.Process.Signal(syscall.SIGHUP))
		reach("configuration reloaded")
	}
	besteffort.Ignore(program.Process.Signal(syscall.SIGTERM))
	reach("draining")
	besteffort.Ignore(program.Process.Signal(syscall.SIGTERM)) // neither cuts the drain short
	besteffort.Ignore(program.Process.Signal(syscall.SIGHUP))
	reach("drained")
	for lines.Scan() {
	}
	if err := program.Wait(); err != nil {
		t.Error(err)
	}
}

// A section that this command can't carry out is refused at the start, with its place and what to do.
func TestExternalProcessorIsAnotherCommand(t *testing.T) {
	dir := t.TempDir()
	file, own := filepath.Join(dir, "config.json"), filepath.Join(dir, "own.toml")
	for name, text := range map[string]string{file: config, own: "\n[external_processor]\nlisten = \"127.0.0.1:0\"\n"} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	program := exec.Command(os.Args[0], "-settings", own)
	program.Env = append(os.Environ(), "APPLELEDGE_AS_PROGRAM=1", "PROXY_CONFIG="+file)
	out, err := program.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "own.toml:2: ") || !strings.Contains(string(out), "appleledge-extproc") {
		t.Errorf("%v: %s", err, out)
	}
}
