package agent

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"time"

	"appleledge/internal/atomicfile"
	"appleledge/internal/generation"
)

// followInterval is the time between two reads of another process's state, and between two attempts to take it over.
const followInterval = 100 * time.Millisecond

// followedState is the state file of another process of the agent. That process replaces it by a rename each time; this one
// only reads it.
type followedState struct {
	file     atomicfile.File
	lastRead os.FileInfo // as it was read last; nil: there was none
}

// read returns the state if it has changed since it was read last, or nil.
func (k *followedState) read() (*generation.State, error) {
	info, err := os.Stat(k.file.Path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil // nothing is stored before the first change
	}
	if err != nil || k.lastRead != nil && os.SameFile(info, k.lastRead) && info.ModTime().Equal(k.lastRead.ModTime()) {
		return nil, err
	}
	doc, err := k.file.Load() // it may be newer than info, and is read again then
	if err != nil {
		return nil, err
	}
	s, err := generation.DecodeState(doc)
	if err == nil {
		k.lastRead = info
	}
	return s, err
}

// adopt puts the state in force before the engine runs.
func (k *followedState) adopt(m *generation.Manager, names generation.Names, now time.Duration) error {
	s, err := k.read()
	if err != nil || s == nil {
		return err
	}
	servers, version := m.Servers()
	p, err := generation.CompileState(s, names, servers, version)
	if err == nil {
		m.Follow(now, p)
	}
	return err
}

// follow puts in force what the other process puts in force, until that process has ended and the state belongs to this one.
// It reports whether that came before the end of the engine.
func (g *generationService) follow(ctx context.Context, engine <-chan struct{}, log *slog.Logger) bool {
	log.Info("the configuration in force is another process' of the agent, until that ends", "state", g.options.StateFile)
	tick := time.NewTicker(followInterval)
	defer tick.Stop()
	failing := false
	for {
		select {
		case <-engine: // not with the context: clients are still answered by what is in force
			return false
		case <-tick.C:
		}
		err := g.syncFollowed(context.WithoutCancel(ctx), log)
		if g.followed == nil {
			return true
		}
		if is := err != nil; is != failing {
			if failing = is; is {
				log.Error("the other process' configuration can't be followed", "error", err)
			} else {
				log.Info("the other process' configuration is followed again")
			}
		}
	}
}

// syncFollowed takes the state over if the other process has ended, or else puts in force what that has changed.
func (g *generationService) syncFollowed(ctx context.Context, log *slog.Logger) error {
	release, locked := atomicfile.Lock(g.options.StateFile)
	if locked == nil {
		g.release, g.followed.lastRead = release, nil // whatever it wrote last is this one's now
	} else if !errors.Is(locked, atomicfile.ErrLocked) {
		return locked
	}
	s, err := g.followed.read()
	if err == nil && s != nil {
		err = g.changes.Adopt(ctx, s, locked == nil)
	}
	switch {
	case err != nil && locked == nil: // nobody else will mend it
		log.Error("the state that the other process has left can't be used; this one keeps what is in force", "error", err)
	case err != nil:
		g.followed.lastRead = nil // it is read again
		return err
	case s != nil:
		log.Info("configuration taken over", "generation", s.Number, "hash", s.Hash[:min(12, len(s.Hash))], "followed", locked != nil)
	}
	if locked == nil {
		g.followed = nil
	}
	return nil
}
