package scenario

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"appleledge/internal/agent"
	"appleledge/internal/besteffort"
	"appleledge/internal/harness/loopback"
)

// Quickstart runs a small fleet, one agent and clients for a while.
type Quickstart struct {
	Servers        int
	Rate           float64 // requests a second
	Duration       time.Duration
	Seed           uint64
	Out            io.Writer
	IsTerminal     bool   // Out is a terminal: progress is shown on one line, rewritten each second
	OperatorSocket string // path of the operators' Unix socket, to plan and apply configurations; empty: none
	StateFile      string // file that stores the configuration in force; empty: none

	OperatorAddr string // address of the operators' HTTP server; empty: none
}

// configFileName is the name of the agent's configuration in its directory.
const configFileName = "config.json" // of the agent's configuration, in a folder of its own

// agentStartTimeout is how long the agent may take until it is ready.
const agentStartTimeout = 10 * time.Second

// Run starts the fleet, the agent and the clients, shows how they do, and ends with a report. A context that ends early
// ends it in order, with the report of what ran.
func (q Quickstart) Run(ctx context.Context) (ClientStats, error) {
	fleet, err := NewFleet(q.Servers, q.Seed)
	if err != nil {
		return ClientStats{}, err
	}
	defer fleet.Close()
	dir, err := os.MkdirTemp("", "appleledge")
	if err != nil {
		return ClientStats{}, fmt.Errorf("a folder for the agent's configuration: %w", err)
	}
	defer func() { besteffort.Ignore(os.RemoveAll(dir)) }()
	addr, ended, stop, err := q.startAgent(fleet, dir)
	if err != nil {
		return ClientStats{}, err
	}
	defer func() { stop(); besteffort.Ignore(<-ended) }()
	fmt.Fprintf(q.Out, "%d form servers (%s), their list, and an agent are up on loopback.\n", q.Servers, fleet.Kinds())
	fmt.Fprintf(q.Out, "The agent is at http://%s. Meanwhile, from another terminal:\n\n", addr)
	fmt.Fprintf(q.Out, "    curl -i -H 'X-Request-ID: mine-1' -H 'X-Tenant-Id: lerwick-port' -H 'X-Timeout: 2000m' http://%s/form-check\n\n", addr)
	if q.OperatorSocket != "" {
		fmt.Fprintf(q.Out, "Operators: go run ./cmd/appleledgectl --socket %s status\n\n", q.OperatorSocket)
	}
	if q.OperatorAddr != "" {
		fmt.Fprintf(q.Out, "Operators: curl http://%s/ops/stats\n", q.OperatorAddr)
		fmt.Fprintf(q.Out, "A new version beside the agent, with an operators' address of its own: PROXY_CONFIG=%s PROXY_OPERATOR=HOST:PORT bin/appleledge\n\n",
			filepath.Join(dir, configFileName))
	}
	fmt.Fprintf(q.Out, "Clients now send %.0f requests a second for %v. Ctrl-C ends it with the report.\n", q.Rate, q.Duration)
	clients := NewLoadGenerator("http://"+addr, q.Rate, q.Seed)
	limited, cancel := context.WithTimeout(ctx, q.Duration)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); clients.Run(limited) }()
	q.showProgress(clients, done)
	t := clients.Stats()
	q.writeReport(fleet, t)
	return t, nil
}

// startAgent starts an agent in this process and waits until it is ready. stop ends it; ended then receives its error.
func (q Quickstart) startAgent(fleet *Fleet, dir string) (addr string, ended <-chan error, stop context.CancelFunc, err error) {
	place, err := loopback.Hold()
	if err != nil {
		return "", nil, nil, err
	}
	defer place.Close() // the agent listens there by then
	addr = place.Addr()
	text, err := configuration(fleet.Discovery.Addr, addr, 0, q.Seed, FleetSize{Agents: 1})
	if err != nil {
		return "", nil, nil, err
	}
	file := filepath.Join(dir, configFileName)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return "", nil, nil, err
	}
	cfg, err := agent.LoadConfig(func(name string) string {
		switch name {
		case "PROXY_CONFIG":
			return file
		case "PROXY_OPERATOR":
			return q.OperatorAddr
		}
		return ""
	})
	if err != nil {
		return "", nil, nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- agent.Run(ctx, cfg, agent.Reloads{}, slog.New(slog.DiscardHandler), q.features()) }()
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(agentStartTimeout); ; time.Sleep(10 * time.Millisecond) {
		if resp, err := client.Get("http://" + addr + "/ready"); err == nil {
			besteffort.Close(resp.Body)
			if resp.StatusCode == http.StatusOK {
				return addr, result, stop, nil
			}
		}
		select {
		case err := <-result:
			stop()
			return "", nil, nil, fmt.Errorf("the agent ended: %w", err)
		default:
		}
		if time.Now().After(until) {
			stop()
			besteffort.Ignore(<-result)
			return "", nil, nil, fmt.Errorf("the agent was not ready within %v", agentStartTimeout)
		}
	}
}

// features returns the agent's optional features.
func (q Quickstart) features() (with agent.Features) {
	if q.OperatorSocket != "" {
		with.Generations = &agent.GenerationOptions{Socket: q.OperatorSocket, StateFile: q.StateFile}
	}
	return with
}

// showProgress prints the clients' counts once a second until they are done.
func (q Quickstart) showProgress(c *LoadGenerator, done <-chan struct{}) {
	began := time.Now()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	begin, end := "", "\n"
	if q.IsTerminal {
		begin, end = "\r\x1b[K", ""
	}
	for {
		select {
		case <-tick.C:
			t := c.Stats()
			fmt.Fprintf(q.Out, "%s%4.0f s  %6d sent  %6d served  %4d refused  %4d failed  %3d open  half within %3d ms, 99%% within %4d ms%s",
				begin, time.Since(began).Seconds(), t.Offered, t.Served, t.Rejected, t.Failed+t.NoAnswer, t.InFlight,
				t.Percentile(0.5).Milliseconds(), t.Percentile(0.99).Milliseconds(), end)
		case <-done:
			if q.IsTerminal {
				fmt.Fprintln(q.Out)
			}
			return
		}
	}
}

// writeReport prints the totals.
func (q Quickstart) writeReport(f *Fleet, t ClientStats) {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(1, t.Offered)) }
	fmt.Fprintf(q.Out, "\n%d requests: %.2f%% served, %.2f%% within %v; %d refused, %d failed, %d with no answer\n", t.Offered,
		share(t.Served), share(t.InTime), latencyObjective, t.Rejected, t.Failed, t.NoAnswer)
	fmt.Fprintf(q.Out, "refunds that ran: %d; that ran more than once: %d\n", len(f.Ledger.Effects()), len(f.Ledger.Repeated()))
}
