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

// Engine runs what is to be done with the manager on the engine's goroutine.
type Engine interface {
	WithGenerations(ctx context.Context, do func(now time.Duration, m *generation.Manager)) error
}

// Store keeps the state over a restart.
type StateStore interface {
	Save(doc []byte) error
}

// ChangeManager makes plans and carries them out, one change at a time: what is staged is kept before the switch, and what is in
// force after it.
type ChangeManager struct {
	Agent       string
	Engine      Engine
	Names       func() generation.Names // of the platform, as they are now
	Store       StateStore              // nil: nothing is kept
	EncodeState func(*generation.State) ([]byte, error)
	Log         *slog.Logger
	Now         func() time.Time

	changing sync.Mutex // held by whoever changes or keeps the state
	mu       sync.Mutex // guards what follows
	lock     *held
	kept     uint64 // Manager.Changes of what was kept last
	problem  error  // of keeping
}

// held is the lock in somebody's hands.
type held struct {
	by    string
	until time.Time
}

// refusal is an error with the kind of its problem.
type refusal struct {
	kind  string
	err   error
	moved []string
}

func (r *refusal) Error() string { return r.err.Error() }
func (r *refusal) Unwrap() error { return r.err }

func refuse(kind string, err error) error { return &refusal{kind: kind, err: err} }

// view is what a plan is made from, taken at one instant.
type view struct {
	now     time.Duration
	config  *fleetconfig.Config
	number  uint64
	servers generation.Servers
	version uint64 // of the servers
}

func (c *ChangeManager) view(ctx context.Context) (v view, err error) {
	err = c.Engine.WithGenerations(ctx, func(now time.Duration, m *generation.Manager) {
		v.now = now
		v.servers, v.version = m.Servers()
		v.config, v.number, _ = m.Config()
	})
	return v, err
}

// Check checks a configuration against the platform's names.
func (c *ChangeManager) Check(config *fleetconfig.Config) error {
	if err := config.Check(c.Names().ConfigNames()); err != nil {
		return refuse(KindInvalid, err)
	}
	return nil
}

// Plan says what a configuration would do now.
func (c *ChangeManager) Plan(ctx context.Context, config *fleetconfig.Config, mostTaken float64) (*plan.Plan, error) {
	p, _, _, err := c.plan(ctx, config, mostTaken)
	return p, err
}

// plan makes a plan, and returns the configuration compiled, for that version of the servers.
func (c *ChangeManager) plan(ctx context.Context, config *fleetconfig.Config, mostTaken float64) (*plan.Plan, *generation.CompiledConfig, uint64, error) {
	v, err := c.view(ctx)
	if err != nil {
		return nil, nil, 0, err
	}
	type turned struct{ refused, came float64 }
	limits := map[string]turned{}
	err = c.Engine.WithGenerations(ctx, func(now time.Duration, m *generation.Manager) {
		for _, l := range config.Limits {
			refused, came := m.EstimateRejected(now, l)
			limits[l.Name] = turned{refused, came}
		}
	})
	if err != nil {
		return nil, nil, 0, err
	}
	names := c.Names()
	p, compiled, err := plan.Make(plan.Input{Agent: c.Agent, Number: v.number, From: v.config, To: config, Names: names, Servers: v.servers,
		IdempotentClasses: names.IdempotentClasses, MaxCapacityTaken: mostTaken, UnixMS: c.Now().UnixMilli(),
		EstimateRejected: func(l fleetconfig.Limit) (float64, float64) { return limits[l.Name].refused, limits[l.Name].came }})
	if err != nil {
		return nil, nil, 0, refuse(KindInvalid, err)
	}
	return p, compiled, v.version, nil
}

// Apply carries a plan out as it stands, or changes nothing. It is not ended by its caller's leaving: a change that has begun
// is brought to its end, and the history says which.
func (c *ChangeManager) Apply(ctx context.Context, p *plan.Plan, by, why string, force bool) (ChangeResult, error) {
	ctx = context.WithoutCancel(ctx)
	config, err := p.TargetConfig()
	if err != nil {
		return ChangeResult{}, refuse(KindBadRequest, err)
	}
	if p.Agent != c.Agent {
		return ChangeResult{}, refuse(KindRejected, fmt.Errorf("%w: %q, and this is %q", plan.ErrOtherAgent, p.Agent, c.Agent))
	}
	c.changing.Lock()
	defer c.changing.Unlock()
	if err := c.mayChange(by); err != nil {
		return ChangeResult{}, err
	}
	fresh, compiled, version, err := c.plan(ctx, config, 1)
	if err != nil {
		return ChangeResult{}, err
	}
	if moved := p.ChangesSince(fresh); len(moved) > 0 {
		return ChangeResult{}, &refusal{KindOutdated, plan.ErrOutdated, moved}
	}
	if err := c.stage(ctx, p, compiled, version, by, force); err != nil {
		return ChangeResult{}, err
	}
	if err := c.keep(ctx); err != nil {
		besteffort.Ignore(c.command(ctx, func(_ time.Duration, m *generation.Manager) error { m.Unstage(); return nil }))
		return ChangeResult{}, refuse(KindStorage, fmt.Errorf("nothing was changed: %w", err))
	}
	return c.switchTo(ctx, p, why)
}

func (c *ChangeManager) stage(ctx context.Context, p *plan.Plan, compiled *generation.CompiledConfig, version uint64, by string, force bool) error {
	err := c.command(ctx, func(_ time.Duration, m *generation.Manager) error {
		return m.Stage(compiled, version, by, p.BaseHash, force)
	})
	if err != nil {
		return refuse(KindRejected, err)
	}
	return nil
}

// switchTo switches to what is staged, if the servers are still those of the plan at that instant.
func (c *ChangeManager) switchTo(ctx context.Context, p *plan.Plan, why string) (out ChangeResult, err error) {
	err = c.command(ctx, func(now time.Duration, m *generation.Manager) error {
		if !p.ServersUnchanged(m.Server) {
			m.Unstage()
			return &refusal{KindOutdated, plan.ErrOutdated, []string{"a server that the plan concerns has changed while it was being applied"}}
		}
		out.Number, err = m.Switch(now, why)
		out.Hash = p.TargetHash
		return err
	})
	if err != nil {
		return ChangeResult{}, err
	}
	return c.inForce(ctx, out), nil
}

// inForce keeps what is in force now. Where that fails the change stands, and its answer says what a restart would do.
func (c *ChangeManager) inForce(ctx context.Context, a ChangeResult) ChangeResult {
	switch err := c.keep(ctx); {
	case err != nil:
		a.Problem = fmt.Sprintf("it is in force, but a restart now would bring the one before back: %v", err)
	case c.Store == nil:
		a.Problem = "no state file is set: a restart begins with the empty configuration"
	default:
		a.IsDurable = true
	}
	return a
}

// command runs do with the manager and returns its error.
func (c *ChangeManager) command(ctx context.Context, do func(time.Duration, *generation.Manager) error) (err error) {
	if ended := c.Engine.WithGenerations(ctx, func(now time.Duration, m *generation.Manager) { err = do(now, m) }); ended != nil {
		return refuse(KindShuttingDown, ended)
	}
	return err
}

// Rollback goes back to the generation before.
func (c *ChangeManager) Rollback(ctx context.Context, by, why string) (out ChangeResult, err error) {
	ctx = context.WithoutCancel(ctx)
	c.changing.Lock()
	defer c.changing.Unlock()
	if err := c.mayChange(by); err != nil {
		return out, err
	}
	err = c.command(ctx, func(now time.Duration, m *generation.Manager) error {
		err := m.Rollback(now, by, why)
		_, out.Number, out.Hash = m.Config()
		return err
	})
	if errors.Is(err, generation.ErrNoRollbackTarget) {
		return out, refuse(KindRejected, err)
	}
	if err != nil {
		return out, err
	}
	return c.inForce(ctx, out), nil
}

// Adopt brings in force what another process of the agent has in force, or had when it ended: then it is this one's to watch.
func (c *ChangeManager) Adopt(ctx context.Context, s *generation.State, ended bool) error {
	v, err := c.view(ctx)
	if err != nil {
		return err
	}
	p, err := generation.CompileState(s, c.Names(), v.servers, v.version)
	if err != nil {
		return err
	}
	return c.command(ctx, func(now time.Duration, m *generation.Manager) error {
		if ended {
			m.TakeOver(now, p)
		} else {
			m.Follow(now, p)
		}
		return nil
	})
}

// keep keeps the state as it is now.
func (c *ChangeManager) keep(ctx context.Context) error {
	if c.Store == nil {
		return nil
	}
	var s *generation.State
	var changes uint64
	err := c.command(ctx, func(_ time.Duration, m *generation.Manager) error {
		s, changes = m.State(), m.StateRevision()
		return nil
	})
	if err != nil {
		return err
	}
	doc, err := c.EncodeState(s)
	if err == nil {
		err = c.Store.Save(doc)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.problem = err; err == nil {
		c.kept = changes
	}
	return err
}

// keepEvery is how soon what the watch does by itself is kept, and how often a failing disk is tried again.
const keepEvery = 250 * time.Millisecond

// Run keeps the state whenever it has changed by itself, until the context ends.
func (c *ChangeManager) Run(ctx context.Context) {
	tick := time.NewTicker(keepEvery)
	defer tick.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		err := c.keepChanged(ctx)
		if is := err != nil && ctx.Err() == nil; is != failing {
			if failing = is; is {
				c.Log.Error("the state of the configuration can't be kept; a restart would bring an older one back", "error", err)
			} else {
				c.Log.Info("the state of the configuration is kept again")
			}
		}
	}
}

func (c *ChangeManager) keepChanged(ctx context.Context) error {
	c.changing.Lock()
	defer c.changing.Unlock()
	var changes uint64
	if err := c.Engine.WithGenerations(ctx, func(_ time.Duration, m *generation.Manager) { changes = m.StateRevision() }); err != nil {
		return err
	}
	c.mu.Lock()
	same := c.kept == changes && c.problem == nil
	c.mu.Unlock()
	if same {
		return nil
	}
	return c.keep(ctx)
}

// Status says how the agent stands.
func (c *ChangeManager) Status(ctx context.Context) (Status, error) {
	s := Status{Agent: c.Agent}
	var changes uint64
	err := c.Engine.WithGenerations(ctx, func(now time.Duration, m *generation.Manager) { s.Status, changes = m.Status(now), m.StateRevision() })
	if err != nil {
		return s, refuse(KindShuttingDown, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Lock = c.holder()
	switch {
	case c.Store == nil:
		s.Problem = "no state file is set"
	case c.problem != nil:
		s.Problem = c.problem.Error()
	default:
		s.IsDurable = c.kept == changes
	}
	return s, nil
}

// lockMost is the longest that the lock is held without being asked for anew.
const lockMost = 15 * time.Minute

// Lock gives the lock to somebody, or prolongs it.
func (c *ChangeManager) Lock(by string, lasts time.Duration) (*Lock, error) {
	if by == "" {
		return nil, refuse(KindBadRequest, errors.New("a lock needs a name, by which others see who holds it"))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.holder(); h != nil && h.Holder != by {
		return nil, refuse(KindRejected, fmt.Errorf("%s holds the lock for %.0f s more", h.Holder, h.SecondsLeft))
	}
	c.lock = &held{by, c.Now().Add(min(max(lasts, time.Second), lockMost))}
	return c.holder(), nil
}

// Unlock takes the lock back from who holds it.
func (c *ChangeManager) Unlock(by string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lock != nil && c.lock.by == by {
		c.lock = nil
	}
}

// holder is who holds the lock, or nil. The caller holds mu.
func (c *ChangeManager) holder() *Lock {
	if c.lock == nil || !c.Now().Before(c.lock.until) {
		return nil
	}
	return &Lock{Holder: c.lock.by, SecondsLeft: c.lock.until.Sub(c.Now()).Seconds()}
}

func (c *ChangeManager) mayChange(by string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.holder(); h != nil && h.Holder != by {
		return refuse(KindRejected, fmt.Errorf("%s holds the lock for %.0f s more", h.Holder, h.SecondsLeft))
	}
	return nil
}
