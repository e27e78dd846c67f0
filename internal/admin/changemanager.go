package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
	"appleledge/internal/plan"
)

// Engine gives access to the generations.
type Engine interface {
	// WithGenerations calls do on the engine's goroutine, which do must not block, and returns when do has. The error says that the
	// engine has ended or the context has, and do was not called.
	WithGenerations(ctx context.Context, do func(now time.Duration, m *generation.Manager)) error
}

// StateStore stores the state over a restart.
type StateStore interface {
	// Save replaces the stored document. It survives a crash once Save has returned nil.
	Save(doc []byte) error
}

// ChangeManager makes plans and carries out changes, one at a time. All methods are safe for concurrent use; the exported fields are
// set before the first call.
//
// Invariants: changeMu is taken before mu and never while mu is held. The state is read and stored only with changeMu held, so that
// an older state never replaces a newer one on disk.
type ChangeManager struct {
	Agent       string // the agent's name: plans for another one are rejected
	Engine      Engine
	Names       func() generation.Names // the platform's names as they are now
	Store       StateStore              // nil: nothing is stored
	EncodeState func(*generation.State) ([]byte, error)
	Log         *slog.Logger
	Now         func() time.Time // wall time

	changeMu sync.Mutex // held by whoever changes or stores the state

	mu             sync.Mutex // guards what follows
	lock           *lockHold
	storedRevision uint64 // generation.Manager.StateRevision of what was stored last
	storeErr       error  // of the last attempt to store
}

// snapshot is what a plan is made from, taken at one instant.
type snapshot struct {
	config         *fleetconfig.Config
	number         uint64
	servers        generation.Servers
	serversVersion uint64
}

func (c *ChangeManager) snapshot(ctx context.Context) (s snapshot, err error) {
	err = c.Engine.WithGenerations(ctx, func(_ time.Duration, m *generation.Manager) {
		s.servers, s.serversVersion = m.Servers()
		s.config, s.number, _ = m.Config()
	})
	return s, err
}

// withManager calls do with the Manager on the engine's goroutine and returns its error, or one with KindShuttingDown.
func (c *ChangeManager) withManager(ctx context.Context, do func(time.Duration, *generation.Manager) error) (err error) {
	if engineErr := c.Engine.WithGenerations(ctx, func(now time.Duration, m *generation.Manager) { err = do(now, m) }); engineErr != nil {
		return withKind(KindShuttingDown, engineErr)
	}
	return err
}

// Check checks a configuration against the platform's names. The error has KindInvalid.
func (c *ChangeManager) Check(config *fleetconfig.Config) error {
	if err := config.Check(c.Names().ConfigNames()); err != nil {
		return withKind(KindInvalid, err)
	}
	return nil
}

// Plan returns what a configuration would do now. maxCapacityTaken is the share of capacity that it may take unflagged.
func (c *ChangeManager) Plan(ctx context.Context, config *fleetconfig.Config, maxCapacityTaken float64) (*plan.Plan, error) {
	p, _, _, err := c.plan(ctx, config, maxCapacityTaken)
	return p, err
}

// plan makes a plan, and returns the configuration compiled, with the version of the servers that it is compiled for.
func (c *ChangeManager) plan(ctx context.Context, config *fleetconfig.Config, maxCapacityTaken float64) (*plan.Plan, *generation.CompiledConfig, uint64, error) {
	s, err := c.snapshot(ctx)
	if err != nil {
		return nil, nil, 0, err
	}
	type estimate struct{ rejected, arrived float64 }
	estimates := map[string]estimate{}
	err = c.Engine.WithGenerations(ctx, func(now time.Duration, m *generation.Manager) {
		for _, l := range config.Limits {
			rejected, arrived := m.EstimateRejected(now, l)
			estimates[l.Name] = estimate{rejected, arrived}
		}
	})
	if err != nil {
		return nil, nil, 0, err
	}
	names := c.Names()
	p, compiled, err := plan.Make(plan.Input{Agent: c.Agent, Number: s.number, From: s.config, To: config, Names: names, Servers: s.servers,
		IdempotentClasses: names.IdempotentClasses, MaxCapacityTaken: maxCapacityTaken, UnixMS: c.Now().UnixMilli(),
		EstimateRejected: func(l fleetconfig.Limit) (float64, float64) {
			return estimates[l.Name].rejected, estimates[l.Name].arrived
		}})
	if err != nil {
		return nil, nil, 0, withKind(KindInvalid, err)
	}
	return p, compiled, s.serversVersion, nil
}

// Apply carries a plan out as it stands, or changes nothing and returns an error. It does not end with its caller's context: a
// change that has begun is brought to its end, and the history says which.
func (c *ChangeManager) Apply(ctx context.Context, p *plan.Plan, actor, reason string, force bool) (ChangeResult, error) {
	ctx = context.WithoutCancel(ctx)
	config, err := p.TargetConfig()
	if err != nil {
		return ChangeResult{}, withKind(KindBadRequest, err)
	}
	if p.Agent != c.Agent {
		return ChangeResult{}, withKind(KindRejected, fmt.Errorf("%w: %q, and this is %q", plan.ErrOtherAgent, p.Agent, c.Agent))
	}
	c.changeMu.Lock()
	defer c.changeMu.Unlock()
	if err := c.mayChange(actor); err != nil {
		return ChangeResult{}, err
	}
	current, compiled, serversVersion, err := c.plan(ctx, config, 1)
	if err != nil {
		return ChangeResult{}, err
	}
	if changed := p.ChangesSince(current); len(changed) > 0 {
		return ChangeResult{}, &callError{KindOutdated, plan.ErrOutdated, changed}
	}
	if err := c.stage(ctx, p, compiled, serversVersion, actor, force); err != nil {
		return ChangeResult{}, err
	}
	if err := c.store(ctx); err != nil {
		besteffort.Ignore(c.withManager(ctx, func(_ time.Duration, m *generation.Manager) error { m.Unstage(); return nil }))
		return ChangeResult{}, withKind(KindStorage, fmt.Errorf("nothing was changed: %w", err))
	}
	return c.switchTo(ctx, p, reason)
}

func (c *ChangeManager) stage(ctx context.Context, p *plan.Plan, compiled *generation.CompiledConfig, serversVersion uint64, actor string, force bool) error {
	err := c.withManager(ctx, func(_ time.Duration, m *generation.Manager) error {
		return m.Stage(compiled, serversVersion, actor, p.BaseHash, force)
	})
	if err != nil {
		return withKind(KindRejected, err)
	}
	return nil
}

// switchTo switches to what is staged, if the servers are still those of the plan at that instant.
func (c *ChangeManager) switchTo(ctx context.Context, p *plan.Plan, reason string) (result ChangeResult, err error) {
	err = c.withManager(ctx, func(now time.Duration, m *generation.Manager) error {
		if !p.ServersUnchanged(m.Server) {
			m.Unstage()
			return &callError{KindOutdated, plan.ErrOutdated, []string{"a server that the plan concerns has changed while it was being applied"}}
		}
		result.Number, err = m.Switch(now, reason)
		result.Hash = p.TargetHash
		return err
	})
	if err != nil {
		return ChangeResult{}, err
	}
	return c.storeResult(ctx, result), nil
}

// storeResult stores what is in force now and completes the result. Where storing fails the change stands, and the result says what a
// restart would do; Run tries again.
func (c *ChangeManager) storeResult(ctx context.Context, result ChangeResult) ChangeResult {
	switch err := c.store(ctx); {
	case err != nil:
		result.Problem = fmt.Sprintf("it is in force, but a restart now would bring the one before back: %v", err)
	case c.Store == nil:
		result.Problem = "no state file is set: a restart begins with the empty configuration"
	default:
		result.IsDurable = true
	}
	return result
}

// Rollback puts the previous generation in force again. The error has KindRejected where there is none. Like Apply it does not end
// with its caller's context.
func (c *ChangeManager) Rollback(ctx context.Context, actor, reason string) (result ChangeResult, err error) {
	ctx = context.WithoutCancel(ctx)
	c.changeMu.Lock()
	defer c.changeMu.Unlock()
	if err := c.mayChange(actor); err != nil {
		return result, err
	}
	err = c.withManager(ctx, func(now time.Duration, m *generation.Manager) error {
		err := m.Rollback(now, actor, reason)
		_, result.Number, result.Hash = m.Config()
		return err
	})
	if errors.Is(err, generation.ErrNoRollbackTarget) {
		return result, withKind(KindRejected, err)
	}
	if err != nil {
		return result, err
	}
	return c.storeResult(ctx, result), nil
}

// Adopt puts in force what another process of the agent has in force. hasEnded says that the other process is gone: then its watch
// and rollout are this process's to go on with.
func (c *ChangeManager) Adopt(ctx context.Context, state *generation.State, hasEnded bool) error {
	s, err := c.snapshot(ctx)
	if err != nil {
		return err
	}
	compiled, err := generation.CompileState(state, c.Names(), s.servers, s.serversVersion)
	if err != nil {
		return err
	}
	return c.withManager(ctx, func(now time.Duration, m *generation.Manager) error {
		if hasEnded {
			m.TakeOver(now, compiled)
		} else {
			m.Follow(now, compiled)
		}
		return nil
	})
}

// Status returns the state of the agent's configuration. The error has KindShuttingDown.
func (c *ChangeManager) Status(ctx context.Context) (Status, error) {
	s := Status{Agent: c.Agent}
	var revision uint64
	err := c.Engine.WithGenerations(ctx, func(now time.Duration, m *generation.Manager) { s.Status, revision = m.Status(now), m.StateRevision() })
	if err != nil {
		return s, withKind(KindShuttingDown, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Lock = c.currentLock()
	switch {
	case c.Store == nil:
		s.Problem = "no state file is set"
	case c.storeErr != nil:
		s.Problem = c.storeErr.Error()
	default:
		s.IsDurable = c.storedRevision == revision
	}
	return s, nil
}
