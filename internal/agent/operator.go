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

// maxDenied limits the servers on the denylist, and the ids of removed servers that are remembered.
const maxDenied = 4096

// reloadCounts counts the configurations that were applied and rejected at SIGHUP.
type reloadCounts struct{ applied, rejected atomic.Uint64 }

// operatedAgent implements operator.Agent.
type operatedAgent struct {
	core      *engine.Engine
	reloads   *reloadCounts
	link      *hotrestart.Link // to other processes of the agent; nil where there can be none
	ready     func() bool
	fleetView func(context.Context) (operator.FleetView, error) // nil: there is none to see
	snapshots *snapshotStore                                    // nil: the denylist ends with the agent's last process
}

func (o operatedAgent) Ready() bool { return o.ready() }

func (o operatedAgent) Stats(ctx context.Context) (f operator.Stats, err error) {
	if f.Endpoints, err = o.core.EndpointCounts(ctx); err != nil {
		return f, err
	}
	f.Counters, f.Reloads, f.ReloadErrors = o.core.Counters(), o.reloads.applied.Load(), o.reloads.rejected.Load()
	return f, nil
}

// SetDenied puts a server on the denylist or takes it off, here and in the other processes of the agent. When it returns
// without an error, the change is durable where snapshots are on.
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

// openOperators opens the port of the operators' calls, where the configuration names one.
func (a *assembly) openOperators() error {
	view := fleetView{a.cfg.Name, a.engine, a.clock, a.snapshots, a.gossip, a.overload}
	serve, err := openOperatorServer(a.cfg, operatedAgent{core: a.engine, reloads: &a.reloader.counts, link: a.features.hotRestart, ready: a.isReady,
		snapshots: a.snapshots, fleetView: view.handler()}, a.clock, a.log)
	if err != nil || serve == nil {
		return err
	}
	a.components.add(untilAnswered, func(ctx context.Context) {
		if err := serve(ctx); err != nil { // clients are served all the same
			a.log.Error("operators can't call any more", "error", err)
		}
	})
	return nil
}

// isReady reports whether new requests are welcome: there are backends, and no drain has begun.
func (a *assembly) isReady() bool {
	if !a.engine.Ready() || a.isDraining() {
		return false
	}
	return a.restart == nil || a.restart.serving.Load()
}

// openOperatorServer opens the listener of the operators' calls. The function that it returns serves until the context ends; it
// is nil where the configuration names no address.
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
