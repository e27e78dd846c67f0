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

// mostBans is how many servers operators may hold out, and how many that are gone are remembered by their ids.
const mostBans = 4096

// reloadCounts are configurations taken and turned down at SIGHUP.
type reloadCounts struct{ taken, refused atomic.Uint64 }

// operating is the agent as operators see it.
type operating struct {
	core    *engine.Engine
	reloads *reloadCounts
	link    *hotrestart.Link // to other processes of the agent; nil where there can be none
	ready   func() bool
	fleet   func(context.Context) (operator.FleetView, error) // nil: there is none to see
	keep    *keeping                                          // nil: bans end with the agent's last process
}

func (o operating) Ready() bool { return o.ready() }

func (o operating) Stats(ctx context.Context) (f operator.Stats, err error) {
	if f.Endpoints, err = o.core.EndpointCounts(ctx); err != nil {
		return f, err
	}
	f.Counters, f.Reloads, f.ReloadErrors = o.core.Counters(), o.reloads.taken.Load(), o.reloads.refused.Load()
	return f, nil
}

// SetDenied carries an operator's order out, here and in the other processes of the agent.
func (o operating) SetDenied(ctx context.Context, server string, out bool) error {
	do := func() error { return hold(ctx, o.core, server, out) }
	var err error
	if o.link == nil {
		err = do()
	} else {
		err = o.link.Give(ctx, hotrestart.Order{Server: server, Out: out}, do)
	}
	if err != nil || o.keep == nil {
		return err
	}
	if err := o.keep.keep(ctx); err != nil && (!errors.Is(err, errElsewhere) || o.link == nil || o.link.Alone()) {
		return fmt.Errorf("the order is in force, and a loss of power would end it: %w", err)
	}
	return nil
}

func hold(ctx context.Context, core *engine.Engine, server string, out bool) error {
	return core.WithDenylist(ctx, func(now time.Duration, s *denylist.Set) error {
		if out {
			return s.Deny(now, server)
		}
		return s.Allow(now, server)
	})
}

// openToOperators opens the operators' listener where the configuration names one. What it returns serves until the context
// ends; it is nil where there is none.
func openToOperators(cfg Config, o operating, clk engine.Clock, log *slog.Logger) (serve func(context.Context) error, err error) {
	if cfg.Operator == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", cfg.Operator)
	if err != nil {
		return nil, fmt.Errorf("listening for operators: %w", err)
	}
	set := denylist.New(mostBans)
	if o.link != nil {
		set.Restore(o.link.Inherited(), clk.FromUnix)
	}
	set.Restore(o.keep.bans(), clk.FromUnix)
	o.core.SetDenylist(set)
	s := &operator.Server{Agent: o, Fleet: o.fleet, Log: log}
	return func(ctx context.Context) error { return s.Serve(ctx, l) }, nil
}
