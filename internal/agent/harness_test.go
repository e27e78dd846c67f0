package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/simwire"
)

// The stand-ins, by the names that the tests here use.
var (
	configText       = agenttest.ConfigText
	noEnv            = agenttest.NoEnv
	listen           = agenttest.Listen
	refusing         = agenttest.Refusing
	eventually       = agenttest.Eventually
	newBackend       = agenttest.NewBackend
	newFakeDiscovery = agenttest.NewDiscovery
	says             = agenttest.Says
	silent           = agenttest.Silent
	entryText        = agenttest.EntryText
	listText         = agenttest.ListText
)

const (
	patience = agenttest.Patience
	served   = agenttest.Served
)

// running is an agent under test.
type running struct {
	site simwire.Site
	url  string
	addr string
	stop func()     // as SIGTERM does
	done chan error // holds what serve returned
}

// start runs an agent on the fake discovery and waits until it is ready. It accepts for so long when it drains.
func start(t *testing.T, d *agenttest.Discovery, acceptFor time.Duration) *running {
	t.Helper()
	return startWith(t, d, acceptFor, func(*Config) {})
}

// startWith is start with a changed configuration.
func startWith(t *testing.T, d *agenttest.Discovery, acceptFor time.Duration, change func(*Config)) *running {
	t.Helper()
	return startOn(t, d, acceptFor, change, Features{}, slog.New(slog.DiscardHandler))
}

// startOn is startWith with what an agent's own settings switch on, and a log.
func startOn(t testing.TB, d *agenttest.Discovery, acceptFor time.Duration, change func(*Config), with Features, log *slog.Logger) *running {
	t.Helper()
	cfg, err := parseConfig(configText(d.Addr().String(), "null"), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	cfg.drainAcceptDuration, cfg.servesKeptConnections = acceptFor, false
	change(&cfg)
	l := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	a := &running{site: cfg.Site, addr: l.Addr().String(), url: "http://" + l.Addr().String(), stop: stop, done: make(chan error, 1)}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		a.done <- serve(ctx, cfg, Reloads{}, l, log, with)
	}()
	t.Cleanup(func() { stop(); <-finished })
	a.wait(t, "the agent is ready", func() bool { return a.readyStatus(t) == http.StatusOK })
	return a
}

// wait waits until ok holds, and says what the agent ended with if it did.
func (a *running) wait(t testing.TB, what string, ok func() bool) {
	t.Helper()
	eventually(t, what, func() bool {
		select {
		case err := <-a.done:
			t.Fatalf("the agent has ended while a test waited: %s; it ended with: %v", what, err)
		default:
		}
		return ok()
	})
}

// readyStatus returns the status of the answer to GET /ready, or 0 where none comes.
func (a *running) readyStatus(t testing.TB) int {
	t.Helper()
	resp, err := http.Get(a.url + "/ready")
	if err != nil {
		return 0
	}
	besteffort.Close(resp.Body)
	return resp.StatusCode
}

var lastID atomic.Int64

// newRequest is a client's request with an id of its own, and a key where the method says so.
func (a *running) newRequest(t testing.TB, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, a.url+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Request-ID", fmt.Sprintf("%016x", lastID.Add(1)))
	r.Header.Set("X-Tenant-Id", "glasgow-airport")
	r.Header.Set("X-Route-Key", "7f3a9c21e0b4d655")
	r.Header.Set("X-Timeout", "2000m")
	if method == http.MethodPost {
		r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	return r
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	close  bool
}

func send(t *testing.T, r *http.Request) reply {
	t.Helper()
	client := http.Client{Transport: &http.Transport{}, Timeout: patience}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(resp.Body)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{resp.StatusCode, resp.Header, string(body), resp.Close}
}
