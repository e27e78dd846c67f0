// Package agent puts a real agent round the decision module: clients, backends and discovery on sockets.
// It carries out what the module decides and tells it what happens.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"appleledge/logic"
)

const (
	// New connections come for up to 0.4 s after the signal to end, and the platform kills 0.7 s after the longest
	// deadline at the soonest. The drain accepts for longer than the one and ends before the other.
	acceptOn  = 550 * time.Millisecond
	drainMost = 50 * time.Millisecond // past that deadline

	sweepEvery   = time.Second
	spareSockets = 24 // for the listener, discovery, the runtime and files
	backendShare = 0.45
	leastSockets = 100  // with fewer there is no point in running
	mostSockets  = 4096 // more are never needed, whatever the limit allows
)

// Run serves until the context ends, then drains as the platform's restarts want it.
func Run(ctx context.Context, cfg Config, reloads Reloads, log *slog.Logger) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	return serve(ctx, cfg, reloads, listener, log)
}

// serve is Run on a listener that is open.
func serve(ctx context.Context, cfg Config, reloads Reloads, listener net.Listener, log *slog.Logger) error {
	defer listener.Close()
	balancer, err := logic.New(cfg.Site.Logic, cfg.Seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	// The parts outlive the signal to end: what is open is still answered.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()

	toBackends, fromClients := shareSockets(cfg.Sockets)
	clk := newClock()
	conns := newPool(cfg.Site.ConnectTimeout, cfg.Site.ConnIdle, toBackends)
	var badReport sync.Once
	loop := newLoop(balancer, clk, conns, &sender{pool: conns, clock: clk, fields: cfg.Site.ReportFields,
		noted: func(err error) {
			badReport.Do(func() { log.Warn("passing over a malformed report; further ones are not logged", "error", err) })
		}}, log)
	disco := newDiscovery(cfg, clk, loop.tell, log)
	loop.subscribe = disco.ask
	parts.Go(func() { loop.run(inner) })
	parts.Go(func() { every(inner, sweepEvery, conns.sweep) })
	parts.Go(func() { disco.run(inner) })
	parts.Go(func() { reloads.follow(inner, cfg, disco, log) })

	s := newServer(cfg, loop, clk, fromClients)
	clients := newClientConns(listener, fromClients)
	s.crowded = clients.crowded
	return s.serve(ctx, s.httpServer(log), clients, log)
}

// shareSockets says how many connections to backends and from clients there may be, within a limit on descriptors.
func shareSockets(limit int) (toBackends, fromClients int) {
	room := min(max(limit, leastSockets), mostSockets) - spareSockets
	toBackends = int(float64(room) * backendShare)
	return toBackends, room - toBackends
}

// serve answers clients until the context ends and what was taken by then is answered.
func (s *server) serve(ctx context.Context, srv *http.Server, l net.Listener, log *slog.Logger) error {
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	log.Info("listening", "addr", l.Addr().String())
	select {
	case err := <-failed:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	log.Info("draining")
	var longest time.Duration
	for _, c := range s.site.Logic.Classes {
		longest = max(longest, c.Deadline)
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.acceptFor+longest+drainMost)
	defer cancel()
	err := s.drain(limited, srv)
	srv.Close()
	if errors.Is(err, context.DeadlineExceeded) {
		log.Warn("drained, but some connections were still open")
		err = nil
	}
	<-failed
	log.Info("drained")
	return err
}

// every calls f at intervals until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
