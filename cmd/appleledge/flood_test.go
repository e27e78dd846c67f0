package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

const (
	floodBatch     = 64  // requests that are written at a time
	maxFloodGrowth = 8.0 // MB, from the first third of a flood to its end
)

// floods are what one client sends on one connection at full speed. Each text of a batch is another one.
func (a *limitedAgent) floods() map[string]func(n int) string {
	valid := func(path, more string) string {
		return fmt.Sprintf("%s HTTP/1.1\r\nHost: a\r\nX-Request-ID: %016x\r\nX-Timeout: 2000m\r\n%s\r\n", path, a.lastID.Add(1), more)
	}
	return map[string]func(n int) string{
		"small requests":    func(int) string { return valid("GET /form-check", "X-Tenant-Id: glasgow-airport\r\n") },
		"under new classes": func(n int) string { return valid(fmt.Sprintf("GET /class-%d", n), "X-Tenant-Id: glasgow-airport\r\n") },
		"under new tenants": func(n int) string { return valid("GET /form-check", fmt.Sprintf("X-Tenant-Id: t-%d\r\n", n)) },
		"under new route keys": func(n int) string {
			return valid("GET /form-check", fmt.Sprintf("X-Tenant-Id: glasgow-airport\r\nX-Route-Key: key-%d\r\n", n))
		},
		"under new keys": func(n int) string {
			return valid("POST /refund-record", fmt.Sprintf("X-Tenant-Id: glasgow-airport\r\nIdempotency-Key: key-%d\r\nContent-Length: 0\r\n", n))
		},
		"under new paths": func(n int) string {
			return valid(fmt.Sprintf("GET /form-check/%d?q=%d", n, n), "X-Tenant-Id: glasgow-airport\r\nX-Attrs: a="+fmt.Sprint(n)+"\r\n")
		},
		"without an id": func(int) string { return "GET /form-check HTTP/1.1\r\nHost: a\r\n\r\n" },
		"under long new ids": func(n int) string {
			return fmt.Sprintf("GET /form-check HTTP/1.1\r\nHost: a\r\nX-Request-ID: %0120d\r\nX-Timeout: 2000m\r\nX-Tenant-Id: glasgow-airport\r\n\r\n", n)
		},
		"OPTIONS *":                func(int) string { return "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n" },
		"readiness":                func(int) string { return "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n" },
		"heads that can't be read": func(n int) string { return fmt.Sprintf("%d\x00 nothing\r\n\r\n", n) },
	}
}

// flood keeps one connection full of requests until the context ends, and reads what is answered. A connection that the agent has ended is
// followed by another.
func (a *limitedAgent) flood(ctx context.Context, text func(n int) string) (sent int) {
	for ctx.Err() == nil {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.addr)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { besteffort.Close(c) })
		var reading sync.WaitGroup
		reading.Go(func() {
			in := bufio.NewReaderSize(c, 64<<10)
			besteffort.IgnoreResult(io.Copy(io.Discard, in))
			besteffort.Close(c)
		})
		for {
			var batch strings.Builder
			for range floodBatch {
				batch.WriteString(text(sent))
				sent++
			}
			if _, err := io.WriteString(c, batch.String()); err != nil {
				break
			}
		}
		stop()
		besteffort.Close(c)
		reading.Wait()
	}
	return sent
}

// residentMB returns how much memory the process has now, in MB.
func (a *limitedAgent) residentMB() float64 { return a.statusMB("VmRSS:") }

// floodSetting is an agent beside a flood.
type floodSetting struct {
	operated    bool
	extended    bool // with the sections of extendedSettings
	connections int  // of the client
}

// extendedSettings returns a file with the sections that keep something of single requests.
func extendedSettings(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.toml")
	telemetry := agenttest.Refusing(t)
	ties, recovery := filepath.Join(dir, "ties"), filepath.Join(dir, "recovery")
	for _, folder := range []string{ties, recovery} {
		if err := os.Mkdir(folder, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	text := fmt.Sprintf("[affinity]\ndir = %q\n[telemetry]\nlisten = %q\n[storm]\n[figures]\nevery = \"1s\"\n[join]\nclasses = [\"form-check\"]\n[recovery]\ndir = %q\n",
		ties, telemetry, recovery)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// While one client sends requests at full speed on one connection, sound or not, also under ever new names, other clients are answered in time
// and memory does not grow with what was sent. APPLELEDGE_LONG=1 plays it for longer, also with more connections, and with the sections that
// keep something of single requests.
func TestOneConnectionAtFullSpeedHoldsNobodyUp(t *testing.T) {
	settings, lasts := []floodSetting{{true, false, 1}, {false, false, 1}}, time.Second
	if isLongRun() {
		settings, lasts = append(settings, floodSetting{true, true, 1}, floodSetting{false, true, 1}, floodSetting{true, false, 8}, floodSetting{false, true, 8}), 15*time.Second
	}
	for _, setting := range settings {
		for name := range (&limitedAgent{}).floods() {
			t.Run(fmt.Sprintf("operated %t, extended %t, %d connections, %s", setting.operated, setting.extended, setting.connections, name), func(t *testing.T) {
				setting.play(t, name, lasts)
			})
		}
	}
}

func (f floodSetting) play(t *testing.T, name string, lasts time.Duration) {
	t.Helper()
	var arguments []string
	if f.extended {
		arguments = []string{"-settings", extendedSettings(t)}
	}
	a := startLimited(t, 48, 512, f.operated, arguments...)
	ctx, cancel := context.WithTimeout(t.Context(), lasts)
	defer cancel()
	var sent atomic.Int64
	var all sync.WaitGroup
	for range f.connections {
		all.Go(func() { sent.Add(int64(a.flood(ctx, a.floods()[name]))) })
	}
	var early float64
	all.Go(func() {
		time.Sleep(lasts / 3)
		early = a.residentMB()
	})
	answers := a.usual(ctx)
	all.Wait()
	late, peak := a.residentMB(), a.peakMB()
	t.Logf("%d sent; %.1f MB after a third, %.1f at the end, peak %.1f of 48; %v", sent.Load(), early, late, peak, answers)
	if peak > 48 || late-early > maxFloodGrowth {
		t.Errorf("memory: peak %.1f MB, grown by %.1f", peak, late-early)
	}
	if answers.slowest > usualPatience || answers.unanswered > 0 {
		t.Errorf("%v", answers)
	}
	resp, err := http.Get("http://" + a.addr + "/ready")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("afterwards: %v %v", resp, err)
	} else {
		besteffort.Close(resp.Body)
	}
	besteffort.Ignore(a.process.Signal(syscall.SIGTERM))
}
