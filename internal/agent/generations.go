package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"appleledge/internal/admin"
	"appleledge/internal/atomicfile"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/generation"
	"appleledge/internal/simwire"
)

// GenerationOptions configure how operators apply configurations and where the one in force is stored.
type GenerationOptions struct {
	Socket    string // of operators
	StateFile string // file that stores the configuration in force; empty: it is lost with the process
}

// generationService serves operators who plan and apply configurations, and stores the one in force.
type generationService struct {
	options  GenerationOptions
	changes  *admin.ChangeManager
	server   *admin.Server
	socket   net.Listener
	release  func() error   // of the state's lock; nil without a state
	followed *followedState // another process' state, which this one follows until that ends; nil: it has its own
}

// openGenerations puts the stored configuration in force and opens the operators' socket.
func (a *assembly) openGenerations() error {
	service, err := a.features.openGenerations(a.engine, a.clock, a.cfg, a.classUsers, a.log)
	if err != nil || service == nil {
		return err
	}
	a.components.add(untilDrain, func(ctx context.Context) { service.run(ctx, a.engine.Done(), a.log) })
	return nil
}

// openGenerations builds the service before the engine runs. The result is nil where nothing is switched on.
func (x Features) openGenerations(core *engine.Engine, clk engine.Clock, cfg Config, s *classUsers, log *slog.Logger) (*generationService, error) {
	if x.Generations == nil {
		return nil, nil
	}
	names := platformNames(cfg.Site, cfg.Site.Balancer.Classes)
	manager := generation.New(generation.Options{Names: names, MaxRetryAfter: cfg.Site.Balancer.MaxRetryAfter,
		UnixMS: func(t time.Duration) int64 { return clk.At(t).UnixMilli() }, OnRecord: func(r generation.Record) { logRecord(log, r) }})
	changes := &admin.ChangeManager{Agent: cfg.Name, Engine: core, Names: s.names, Log: log, Now: time.Now,
		EncodeState: func(s *generation.State) ([]byte, error) { return json.Marshal(s) }}
	g := &generationService{options: *x.Generations, changes: changes, server: &admin.Server{Changes: changes, Log: log}}
	if err := g.open(manager, x.hotRestart != nil && !x.hotRestart.IsAlone(), clk, log); err != nil {
		g.close()
		return nil, err
	}
	core.SetGenerations(manager, cfg.Site.Zones)
	return g, nil
}

// platformNames returns the platform's names with these classes by number. Classes that were retired keep their numbers.
func platformNames(site simwire.Site, classes []balancer.Class) generation.Names {
	names := generation.Names{Tenants: site.Tenants, Zones: site.Zones, RoutableHeaders: requesthead.RoutingHeaders}
	for _, c := range classes {
		names.Classes = append(names.Classes, generation.Class{Name: c.Name, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline})
		if c.Effect == balancer.IdempotentByKey {
			names.IdempotentClasses = append(names.IdempotentClasses, c.Name)
		}
	}
	return names
}

// open restores the state and opens the socket. Where another process of the agent holds the lock, its state is followed until
// it ends.
func (g *generationService) open(m *generation.Manager, beside bool, clk engine.Clock, log *slog.Logger) (err error) {
	if g.options.StateFile != "" {
		file := atomicfile.File{Path: g.options.StateFile, FS: atomicfile.OS{}}
		g.changes.Store = file
		switch g.release, err = atomicfile.Lock(g.options.StateFile); {
		case errors.Is(err, atomicfile.ErrLocked) && beside:
			g.followed = &followedState{file: file}
			if err := g.followed.adopt(m, g.changes.Names(), clk.Now()); err != nil {
				return fmt.Errorf("the configuration of the process that runs already: %w", err)
			}
			return nil
		case err != nil:
			return fmt.Errorf("the state of the configuration: %w", err)
		}
		if err := restore(m, file, clk, log); err != nil {
			return err
		}
	}
	if g.socket, err = admin.Listen(g.options.Socket); err != nil && !beside {
		return fmt.Errorf("the operators' socket: %w", err)
	}
	return nil
}

// restore puts the stored state in force. A state that can't be read is quarantined, and the agent starts with an empty
// configuration. A state of a newer format, or one that does not fit the platform's names, stays where it is and the agent
// does not start: it would overwrite a configuration that somebody wants.
func restore(m *generation.Manager, f atomicfile.File, clk engine.Clock, log *slog.Logger) error {
	doc, err := f.Load()
	if errors.Is(err, atomicfile.ErrNotFound) {
		return nil
	}
	var s *generation.State
	if err == nil {
		s, err = generation.DecodeState(doc)
	}
	switch {
	case errors.Is(err, generation.ErrNewerFormat):
		return fmt.Errorf("%s: %w", f.Path, err)
	case err != nil:
		name, aside := f.Quarantine(time.Now())
		if aside != nil {
			return errors.Join(err, aside)
		}
		log.Error("the state of the configuration can't be read; the agent begins without one", "error", err, "kept_as", name)
		return nil
	}
	if err := m.Restore(clk.Now(), s); err != nil {
		return fmt.Errorf("%s does not fit the platform's configuration: %w", f.Path, err)
	}
	return nil
}

// run serves operators until the context ends, and stores changes that happen by themselves until the engine has ended.
func (g *generationService) run(ctx context.Context, engine <-chan struct{}, log *slog.Logger) {
	if g.followed != nil && !g.follow(ctx, engine, log) {
		return
	}
	keeping, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.changes.Run(keeping)
	}()
	if err := g.serve(ctx, log); err != nil {
		log.Error("operators can't be served any more", "error", err)
	}
	<-engine
	stop()
	select {
	case <-done:
	case <-time.After(finalWriteTimeout): // a disk that hangs must not keep the agent from ending
	}
	g.close()
}

// serve serves operators until the context ends, as soon as the socket is free: another process of the agent closes it when it
// drains.
func (g *generationService) serve(ctx context.Context, log *slog.Logger) (err error) {
	for told := false; g.socket == nil; told = true {
		if g.socket, err = admin.Listen(g.options.Socket); err == nil {
			break
		}
		if !told {
			log.Warn("operators can't be served yet; the socket is tried again", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(followInterval):
		}
	}
	return g.server.Serve(ctx, g.socket)
}

// finalWriteTimeout limits the wait for the last write, so that a disk that hangs can't keep the process from ending.
const finalWriteTimeout = time.Second

func (g *generationService) close() {
	if g.socket != nil {
		besteffort.Close(g.socket)
	}
	if g.release != nil {
		besteffort.Ignore(g.release()) // the process gives the lock back in any case
	}
}

// logRecord logs a record of the configuration history.
func logRecord(log *slog.Logger, r generation.Record) {
	level := slog.LevelInfo
	if r.Event == generation.EventHarmFound {
		level = slog.LevelWarn
	}
	log.Log(context.Background(), level, "configuration", "what", r.Event, "generation", r.Number, "hash", r.Hash[:min(12, len(r.Hash))],
		"by", r.Actor, "why", r.Reason)
}
