package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/besteffort"
)

const (
	impatientClients  = 6
	impatientTimeout  = 321 * time.Millisecond // of a request
	impatientInterval = 50 * time.Millisecond  // between the requests of one client
	lostAfter         = 500 * time.Millisecond // behind a request's time its answer is lost
	maxLateRatio      = 0.02                   // of the requests, where nothing else runs on the machine
)

// fullSpeedSetting is what some clients write at full speed, without waiting for answers.
type fullSpeedSetting struct {
	name         string
	begin        string // ends the head with which a connection begins; empty: there is none
	text         string // that is written again and again
	connections  int
	readsAnswers bool
}

// fullSpeedSettings returns those of CI, or all.
func fullSpeedSettings() (all []fullSpeedSetting) {
	begins := map[string]string{
		"tiny chunks":  "Transfer-Encoding: chunked\r\n\r\n",
		"large chunks": "Transfer-Encoding: chunked\r\n\r\n",
		"a long body":  "Content-Length: 33000000\r\n\r\n",
	}
	texts := map[string]string{
		"tiny chunks":            "1\r\nx\r\n",
		"large chunks":           "2000\r\n" + strings.Repeat("x", 8<<10) + "\r\n",
		"a long body":            strings.Repeat("x", 1000),
		"GET /ready":             "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /ready":            "POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
		"POST /ready, bodies":    "POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("x", 100),
		"POST /ready, chunks":    "POST /ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n1\r\ny\r\n0\r\n\r\n",
		"GET /ready, many lines": "GET /ready HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: b\r\n", 90) + "\r\n",
		"empty lines":            "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n",
		"without an id":          "GET /form-check HTTP/1.1\r\nHost: a\r\n\r\n",
	}
	names, connections := []string{"GET /ready", "tiny chunks"}, []int{6}
	if isLongRun() {
		names, connections = nil, []int{1, 2, 3, 6, 20}
		for name := range texts {
			names = append(names, name)
		}
		slices.Sort(names)
	}
	for _, name := range names {
		for _, count := range connections {
			for _, readsAnswers := range []bool{true, false} {
				all = append(all, fullSpeedSetting{name, begins[name], texts[name], count, readsAnswers})
			}
		}
	}
	return all
}

// write keeps a connection full until the context ends. A connection that the agent has ended is followed by another.
func (f fullSpeedSetting) write(ctx context.Context, a *limitedAgent) {
	batch := strings.Repeat(f.text, floodBatch)
	for ctx.Err() == nil {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.addr)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { besteffort.Close(c) })
		if f.readsAnswers {
			go func() { besteffort.IgnoreResult(io.Copy(io.Discard, c)) }()
		}
		if f.begin != "" {
			_, err = io.WriteString(c, a.head(f.begin))
		}
		for err == nil {
			_, err = io.WriteString(c, batch)
		}
		stop()
		besteffort.Close(c)
	}
}

// impatient sends requests of usual clients whose time is short, until the context ends, and returns how long each took.
func (a *limitedAgent) impatient(ctx context.Context) (took []time.Duration, unanswered int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range impatientClients {
		all.Go(func() {
			isKept := i%2 == 1
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: !isKept}}
			for ctx.Err() == nil {
				began := time.Now()
				_, err := a.askWithin(client, i, isKept, impatientTimeout)
				mu.Lock()
				took = append(took, time.Since(began))
				if err != nil {
					unanswered++
				}
				mu.Unlock()
				time.Sleep(impatientInterval)
			}
		})
	}
	all.Wait()
	return took, unanswered
}

// Clients write GET /ready one behind the other and wait for no answer; a connection that never has to wait took the core for as long as what
// was written lasted, and usual clients got their answers seconds late (issue 76, evidence 3).
func TestClientsAtFullSpeedDoNotDelayOthers(t *testing.T) {
	for _, setting := range fullSpeedSettings() {
		t.Run(fmt.Sprintf("%s, %d connections, reads answers %t", setting.name, setting.connections, setting.readsAnswers), func(t *testing.T) {
			setting.play(t, 3*time.Second)
		})
	}
}

func (f fullSpeedSetting) play(t *testing.T, lasts time.Duration) {
	t.Helper()
	a := startLimited(t, 32, 1024, true)
	a.checkBesideFlood(f.connections, lasts, func(ctx context.Context) { f.write(ctx, a) })
}

// checkBesideFlood runs a flood on so many connections, and checks that usual clients are answered in time beside it. It ends the agent.
func (a *limitedAgent) checkBesideFlood(connections int, lasts time.Duration, flood func(context.Context)) {
	a.t.Helper()
	ctx, cancel := context.WithTimeout(a.t.Context(), lasts)
	defer cancel()
	var all sync.WaitGroup
	for range connections {
		all.Go(func() { flood(ctx) })
	}
	took, unanswered := a.impatient(ctx)
	all.Wait()
	slices.Sort(took)
	slowest := took[len(took)-1]
	late := len(took) - firstAbove(took, impatientTimeout+answerGrace)
	a.t.Logf("usual clients: slowest %v, median %v, %d of %d late, %d without an answer; peak %.1f MB", slowest.Round(time.Millisecond),
		took[len(took)/2].Round(time.Millisecond), late, len(took), unanswered, a.peakMB())
	if slowest > impatientTimeout+lostAfter || unanswered > 0 {
		a.t.Errorf("the slowest answer took %v, %d of %d got none", slowest, unanswered, len(took))
	}
	if float64(late) > maxLateRatio*float64(len(took)) && isLongRun() {
		a.t.Errorf("%d of %d answers were late", late, len(took))
	}
	besteffort.Ignore(a.process.Signal(syscall.SIGTERM))
}

// firstAbove returns how many of the sorted durations are not above a limit.
func firstAbove(sorted []time.Duration, limit time.Duration) int {
	at, _ := slices.BinarySearch(sorted, limit+1)
	return at
}
