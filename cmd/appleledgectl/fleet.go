package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"appleledge/internal/besteffort"
	"appleledge/internal/operator"
)

// agentEnv names the agent's operators' address where no flag does.
const agentEnv = "APPLELEDGE_AGENT"

const maxFleetViewBytes = 4 << 20 // bytes of an agent's answer

// fleetCommand returns the command that prints the fleet as one agent sees it.
func (c *console) fleetCommand() *cobra.Command {
	agent := os.Getenv(agentEnv)
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Show the fleet as an agent sees it: who lives, how service returns, what is asked and refused",
		Long: `Asks an agent at its operators' address (PROXY_OPERATOR) how it sees the fleet. The agent has a section [recovery] or [peers] in its
settings, and [overload] for what is asked and refused. Phases of recovery: full (nothing is held back), dark (no server is known), asking (the others are asked), trying (first requests are
out), worthiest (the class that is worth most is let in), proving (the others follow as capacity is proven).`,
		Example: "  appleledgectl fleet --agent 127.0.0.1:9090\n  appleledgectl fleet --agent 127.0.0.1:9090 --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if agent == "" {
				return fmt.Errorf("no agent is named: --agent HOST:PORT, or %s", agentEnv)
			}
			f, err := fetchFleetView(cmd.Context(), agent)
			if err != nil {
				return err
			}
			if c.json {
				return c.writeJSON(f)
			}
			return writeFleetView(c.out, f)
		},
	}
	cmd.Flags().StringVar(&agent, "agent", agent, "the agent's operators' `address` (default $"+agentEnv+")")
	return cmd
}

// fetchFleetView gets an agent's view of the fleet from its operators' address.
func fetchFleetView(ctx context.Context, agent string) (f operator.FleetView, err error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+agent+"/ops/fleet", nil)
	if err != nil {
		return f, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return f, err
	}
	defer besteffort.Close(resp.Body)
	if resp.StatusCode == http.StatusNotFound {
		return f, fmt.Errorf("the agent at %s has no view of a fleet: neither [recovery] nor [peers] is in its settings", agent)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxFleetViewBytes))
	if err != nil {
		return f, err
	}
	if resp.StatusCode != http.StatusOK {
		return f, fmt.Errorf("the agent at %s answered %s: %.200s", agent, resp.Status, text)
	}
	return f, json.Unmarshal(text, &f)
}

// writeFleetView writes the view as text.
func writeFleetView(out io.Writer, f operator.FleetView) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "agent\t%s\n", f.Agent)
	if r := f.Recovery; r != nil {
		fmt.Fprintf(w, "recovery\t%s for %.1f s: %s\n", r.Phase, r.DurationS, r.Why)
		if r.AdmittedRate > 0 {
			fmt.Fprintf(w, "let in\t%v requests a second, at %v of the fleet's capacity\n", r.AdmittedRate, r.WarmRatio)
		}
		fmt.Fprintf(w, "servers\t%d known, %d answered; %d trials, %d in vain\n", r.Servers, r.Answered, r.Trials, r.FailedTrials)
		var refused []string
		for _, class := range slices.Sorted(maps.Keys(r.Rejected)) {
			refused = append(refused, fmt.Sprintf("%s %d", class, r.Rejected[class]))
		}
		fmt.Fprintf(w, "refused\t%s\n", strings.Join(refused, ", "))
		fmt.Fprintf(w, "from before\ttrusted: %s\n", r.Trust)
		fmt.Fprintf(w, "on disk\t%s\n", r.Persistence)
	}
	if p := f.Peers; p != nil {
		fmt.Fprintf(w, "agents\t%d of %d live\n", p.Alive, len(p.States))
		by := map[string][]string{}
		for number, state := range p.States {
			if number != p.Self && state != "alive" {
				by[state] = append(by[state], fmt.Sprint(number))
			}
		}
		for _, state := range slices.Sorted(maps.Keys(by)) {
			fmt.Fprintf(w, "%s\t%s\n", state, strings.Join(by[state], " "))
		}
		fmt.Fprintf(w, "word\t%d claims heard, %d out of bounds; held out: %s\n", p.Claims, p.ClaimsOutOfBounds, strings.Join(p.ExcludedServers, " "))
		fmt.Fprintf(w, "datagrams\t%d sent (%d bytes), %d taken\n", p.Sent, p.SentBytes, p.Received)
		for _, why := range slices.Sorted(maps.Keys(p.Dropped)) {
			fmt.Fprintf(w, "\t%d dropped: %s\n", p.Dropped[why], why)
		}
	}
	if o := f.Overload; o != nil {
		fmt.Fprintf(w, "servers can do\t%v a second, and are %v busy\n", o.Capacity, o.Utilization)
		fmt.Fprintf(w, "the fleet\tis asked %v a second, lets in %v (limit %s), serves %v in time and %v late or not; %v further attempts\n", o.OfferedRate, o.AdmittedRate,
			formatLimit(o.Limit), o.ServedInTimeRate, o.LateOrFailedRate, o.RetryRate)
		for _, class := range slices.Sorted(maps.Keys(o.Classes)) {
			k := o.Classes[class]
			fmt.Fprintf(w, "\t%s: %v first tries and %v repeats a second, let in with chance %v; refused here %d and %d\n", class, k.FirstAttemptRate, k.RetryRate, k.AdmissionProbability,
				k.Rejected, k.RejectedRetries)
		}
		fmt.Fprintf(w, "refused here\t%d of these for want of time; %d further attempts not made\n", o.RejectedTooLate, o.SuppressedRetries)
		fmt.Fprintf(w, "picture\ttrusted %v, of %d agents; %d requests were decided alone\n", o.Trust, o.KnownAgents, o.DecidedLocally)
		fmt.Fprintf(w, "\t%d told, %d heard, %d out of bounds, %d malformed\n", o.PayloadsSent, o.PayloadsReceived, o.ClaimsOutOfBounds, o.Malformed)
		fmt.Fprintf(w, "held out as ill\t%s\n", strings.Join(o.ExcludedServers, " "))
	}
	return w.Flush()
}

// formatLimit returns a limit as text.
func formatLimit(x float64) string {
	if x == 0 {
		return "none"
	}
	return fmt.Sprint(x)
}
