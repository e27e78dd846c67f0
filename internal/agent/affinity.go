package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"appleledge/internal/affinity"
	"appleledge/internal/affinity/bindinglog"
	"appleledge/internal/boottime"
	"appleledge/internal/engine"
)

// AffinityOptions configure the sticky bindings of idempotency keys to servers.
type AffinityOptions struct {
	Dir             string        // that keeps them over a restart; empty: nothing does
	Sync            bool          // to the disk itself
	MaxBindings     int           // in the table
	LateRetryPeriod time.Duration // after the dedup window, in which a client may still retry
	CommitTimeout   time.Duration // for which an attempt waits until its binding is stored
}

const (
	affinityDescriptors      = 8 // descriptors: the file that is written, and what is looked at
	siblingReadInterval      = 100 * time.Millisecond
	expiryInterval           = time.Minute
	affinityErrorLogInterval = 10 * time.Second // between two log lines on write errors
)

// affinityLog stores bindings in a log on disk and reads those of other processes.
type affinityLog struct {
	log           *bindinglog.Log
	core          *engine.Engine
	commitTimeout time.Duration
	logger        *slog.Logger
}

// openAffinity switches sticky bindings on and reads what earlier processes have stored of them.
func (a *assembly) openAffinity() error {
	stored, err := a.features.openAffinity(a.engine, a.clock, a.cfg, a.log)
	if err != nil || stored == nil {
		return err
	}
	a.components.add(untilAnswered, func(context.Context) { stored.run(a.engine.Done()) })
	a.components.add(untilAnswered, stored.readSiblings)
	return nil
}

// openAffinity connects a table of bindings to the engine, and the log that stores them. What is stored is read before the
// first client is served. The result is nil where nothing is stored over a restart.
func (x Features) openAffinity(core *engine.Engine, clk engine.Clock, cfg Config, log *slog.Logger) (*affinityLog, error) {
	if x.Affinity == nil {
		return nil, nil
	}
	set := *x.Affinity
	window := engine.DedupWindow(cfg.Site.Balancer.Classes)
	if window == 0 {
		log.Warn("no class is keyed: there are no ties to remember")
	}
	table := affinity.New(affinity.Options{MaxEntries: set.MaxBindings, DedupWindow: window, LateRetryPeriod: set.LateRetryPeriod})
	if set.Dir == "" {
		var secret affinity.Secret // nobody else's table has to be the same
		core.SetAffinity(table, secret, nil)
		return nil, nil
	}
	o := bindinglog.Options{Dir: set.Dir, FS: x.fileSystem(), Sync: set.Sync, Retention: window + set.LateRetryPeriod, Now: clk.Now}
	if err := x.setBootClock(&o, clk); err != nil {
		return nil, fmt.Errorf("ties: %w", err)
	}
	secret, err := bindinglog.LoadOrCreateSecret(o)
	if err != nil {
		return nil, err
	}
	l, err := bindinglog.Open(o)
	if err != nil {
		return nil, fmt.Errorf("ties: %w", err)
	}
	began := time.Now()
	found, err := l.ReadNew()
	if err != nil {
		return nil, fmt.Errorf("ties: %w", err)
	}
	table.Restore(clk.Now(), found.Records)
	log.Info("ties of earlier processes read", "records", len(found.Records), "ties", table.Counts().Entries, "took", time.Since(began))
	t := &affinityLog{log: l, core: core, commitTimeout: set.CommitTimeout, logger: log}
	t.logCorrupt(found)
	core.SetAffinity(table, secret, t)
	return t, nil
}

// setBootClock makes the log store times since the machine's boot, which all its processes have in common.
func (x Features) setBootClock(o *bindinglog.Options, clk engine.Clock) error {
	boot, now, err := boottime.Read()
	if err == nil && x.Recovery != nil {
		boot, err = x.Recovery.bootID()
	}
	if err != nil {
		return err
	}
	offset := int64(now - clk.Now())
	o.BootID = boot
	o.ToBootTime = func(t time.Duration) int64 { return int64(t) + offset }
	o.FromBootTime = func(stamp int64) time.Duration { return time.Duration(stamp - offset) }
	return nil
}

// logCorrupt logs records that could not be read.
func (l *affinityLog) logCorrupt(found bindinglog.ReadResult) {
	if found.Corrupt > 0 {
		l.logger.Error("some ties could not be read: repeats of those requests are taken for new ones", "records", found.Corrupt, "kept_as", found.Quarantined)
	}
}

// Append queues a record to be stored. It implements engine's log of bindings and does not block.
func (l *affinityLog) Append(r affinity.Record) engine.BindingCommit {
	return commit{l.log.Append(r), l.commitTimeout}
}

// SetRetention says for how long records are of use from now on. It implements engine's log of bindings.
func (l *affinityLog) SetRetention(retention time.Duration) { l.log.SetRetention(retention) }

type commit struct {
	*bindinglog.Commit
	timeout time.Duration
}

// Wait blocks until the record is stored, or for the configured time-out, and reports whether it is.
func (c commit) Wait() bool { return c.Commit.Wait(c.timeout) }

// run writes queued records until the engine has ended, and removes expired ones.
func (l *affinityLog) run(ended <-chan struct{}) {
	remove := time.NewTicker(expiryInterval)
	defer remove.Stop()
	logged := time.Time{}
	trouble := func(err error) {
		if err != nil && time.Since(logged) > affinityErrorLogInterval {
			logged = time.Now()
			l.logger.Error("ties can't be kept: a restart now would forget where refunds under way have gone", "error", err)
		}
	}
	for {
		select {
		case <-ended:
			trouble(errors.Join(l.log.Flush(), l.log.Close()))
			return
		case <-l.log.FlushNeeded():
			trouble(l.log.Flush())
		case <-remove.C:
			trouble(l.log.RemoveExpired())
		}
	}
}

// readSiblings reads the bindings that other processes of the agent store: one drains while the other serves.
func (l *affinityLog) readSiblings(ctx context.Context) {
	failed := false
	callEvery(ctx, siblingReadInterval, func() {
		found, err := l.log.ReadNew()
		if err != nil && !failed {
			l.logger.Error("ties of other processes can't be read", "error", err)
		}
		failed = err != nil
		l.logCorrupt(found)
		if len(found.Records) > 0 {
			l.core.Post(engine.BindingsRestored{Records: found.Records})
		}
	})
}
