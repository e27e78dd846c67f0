package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"appleledge/internal/denylist"
	"appleledge/internal/engine"
	"appleledge/internal/hotrestart"
	"appleledge/internal/operator"
)

// maxDenied is how many servers operators may hold out, and how many that are gone are remembered by their ids.
const maxDenied = 4096

// reloadCounts are configurations taken and turned down at SIGHUP.
type reloadCounts struct{ applied, rejected atomic.Uint64 }

// operating is the agent as operators see it.
type operatedAgent struct {
	core      *engine.Engine
	reloads   *reloadCounts
	link      *hotrestart.Link // to other processes of the agent; nil where there can be none
	ready     func() bool
	fleetView func(context.Context) (operator.FleetView, error) // nil: there is none to see
	snapshots *snapshotStore                                    // nil: bans end with the agent's last process
}

func (o operatedAgent) Ready() bool { return o.ready() }

func (o operatedAgent) Stats(ctx context.Context) (f operator.Stats, err error) {
	if f.Endpoints, err = o.core.EndpointCounts(ctx); err != nil {
		return f, err
	}
	f.Counters, f.Reloads, f.ReloadErrors = o.core.Counters(), o.reloads.applied.Load(), o.reloads.rejected.Load()
	return f, nil
}

// SetDenied carries an operator's order out, here and in the other processes of the agent.
func (o operatedAgent) SetDenied(ctx context.Context, server string, out bool) error {
	do := func() error { return setDenied(ctx, o.core, server, out) }
	var err error
	if o.link == nil {
		err = do()
	} else {
		err = o.link.ApplyEverywhere(ctx, hotrestart.DenylistCommand{Server: server, Deny: out}, do)
	}
	if err != nil || o.snapshots == nil {
		return err
	}
	if err := o.snapshots.write(ctx); err != nil && (!errors.Is(err, errOtherWriter) || o.link == nil || o.link.IsAlone()) {
		return fmt.Errorf("the order is in force, and a loss of power would end it: %w", err)
	}
	return nil
}

func setDenied(ctx context.Context, core *engine.Engine, server string, out bool) error {
	return core.WithDenylist(ctx, func(now time.Duration, s *denylist.Set) error {
		if out {
			return s.Deny(now, server)
		}
		return s.Allow(now, server)
	})
}

// openOperatorServer opens the operators' listener where the configuration names one. What it returns serves until the context
// ends; it is nil where there is none.
func openOperatorServer(cfg Config, o operatedAgent, clk engine.Clock, log *slog.Logger) (serve func(context.Context) error, err error) {
	if cfg.Operator == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", cfg.Operator)
	if err != nil {
		return nil, fmt.Errorf("listening for operators: %w", err)
	}
	set := denylist.New(maxDenied)
	if o.link != nil {
		set.Restore(o.link.InheritedDenylist(), clk.FromUnix)
	}
	set.Restore(o.snapshots.previousDenylist(), clk.FromUnix)
	o.core.SetDenylist(set)
	s := &operator.Server{Agent: o, Fleet: o.fleetView, Log: log}
	return func(ctx context.Context) error { return s.Serve(ctx, l) }, nil
}
