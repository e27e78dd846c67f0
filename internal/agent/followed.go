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

// followInterval is how soon a process follows what another one of its agent puts in force, and takes over when that has ended.
const followInterval = 100 * time.Millisecond

// kept is the state that another process of the agent keeps. That one changes it, by a rename each time; this one reads.
type followedState struct {
	file     atomicfile.File
	lastRead os.FileInfo // as it was read last; nil: there was none
}

// read returns the state if it has changed since it was read last, or nil.
func (k *followedState) read() (*generation.State, error) {
	info, err := os.Stat(k.file.Path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil // none is kept before the first change
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

// first takes up the state before the engine runs.
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

// follow keeps up with the other process until that has ended and the state is this one's, which it reports: else the context
// has ended before.
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

// syncFollowed takes over from the other process if it has ended, or brings in force what it has put in force meanwhile.
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
