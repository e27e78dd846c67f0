package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"appleledge/internal/atomicfile"
	"appleledge/internal/besteffort"
	"appleledge/internal/boottime"
	"appleledge/internal/denylist"
	"appleledge/internal/engine"
	ondisk "appleledge/internal/fleet/snapshot"
	"appleledge/internal/membership/listing"
)

// RecoveryOptions configure the snapshot on disk and the return of service after a loss of power.
type RecoveryOptions struct {
	Dir              string        // that keeps it
	BootIDFile       string        // names the run of the machine
	WriteInterval    time.Duration // between two writes of what changes all the time
	FirstListTimeout time.Duration // for the list at a start, before the servers from before are used
	LogInterval      time.Duration // between two lines while service has not returned
}

const (
	snapshotFileName      = "knowledge"           // the file's name
	recoveryDescriptors   = 4                     // descriptors: the lock, and what is written and read
	urgentWriteDelay      = 10 * time.Millisecond // before an urgent change is written, so that further ones go with it
	clientReturnMargin    = 10 * time.Second      // after its deadline and window, that a client may come back with a request
	maxSnapshotAge        = 10 * time.Second      // for which nothing is written where nothing has changed
	writeErrorLogInterval = 10 * time.Second      // between two log lines on write errors
)

// snapshotStore writes what the agent knows to disk, and holds what an earlier process has written there.
// It is safe for concurrent use once it is opened.
type snapshotStore struct {
	options        RecoveryOptions
	file           atomicfile.File
	decoder        listing.Decoder
	agent          string
	log            *slog.Logger
	trust          ondisk.Trust
	previous       ondisk.Document
	disabledReason string        // why nothing is written; empty: it is
	wake           chan struct{} // buffered by one: a change that has to be written at once
	core           *engine.Engine
	listVersion    func() int64  // of the endpoint list that core has, or of an earlier one
	repeatWindow   time.Duration // for which a client may come back with a request from before

	mu          sync.Mutex // one write at a time
	release     func() error
	lastWritten ondisk.Document
	writtenAt   time.Time
	loggedAt    time.Time
	writeError  error // of the last try to write
}

// openSnapshots reads the snapshot that an earlier process of the agent has stored.
func (a *assembly) openSnapshots() (err error) {
	a.snapshots, err = a.features.openSnapshotStore(a.cfg, a.clock, a.log)
	if err != nil || a.snapshots == nil {
		return err
	}
	a.components.add(untilDrain, a.snapshots.run)
	return nil
}

// openSnapshotStore reads the snapshot of an earlier process. The result is nil where the feature is off. A snapshot that can't
// be read does not keep the agent from starting: it starts with nothing, and logs that.
func (x Features) openSnapshotStore(cfg Config, clk engine.Clock, log *slog.Logger) (*snapshotStore, error) {
	if x.Recovery == nil {
		return nil, nil
	}
	k := &snapshotStore{options: *x.Recovery, decoder: listing.Decoder{Zones: cfg.Site.Zones, Clock: clk}, agent: cfg.Name + " " + cfg.Listen, log: log,
		wake: make(chan struct{}, 1)}
	if err := os.MkdirAll(k.options.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("recovery: the folder for what is kept: %w", err)
	}
	k.file = atomicfile.File{Path: filepath.Join(k.options.Dir, snapshotFileName), FS: x.fileSystem()}
	k.repeatWindow = clientReturnMargin
	for _, c := range cfg.Site.Balancer.Classes {
		k.repeatWindow = max(k.repeatWindow, c.Deadline+c.DedupWindow+clientReturnMargin)
	}
	if x.Affinity == nil || x.Affinity.Dir == "" || !x.Affinity.Sync {
		log.Warn("a loss of power loses where refunds went, as [affinity] does not keep it with sync: repeats that clients do not mark may run twice then")
	}
	now, err := k.reader()
	if err != nil {
		return nil, fmt.Errorf("recovery: the run of the machine: %w", err)
	}
	text, err := k.file.Load()
	if err == nil {
		k.previous, err = ondisk.Decode(text)
	}
	switch {
	case errors.Is(err, atomicfile.ErrNotFound):
		log.Info("nothing is kept from before")
		return k, nil
	case errors.Is(err, os.ErrPermission):
		log.Error("what is kept can't be read: the agent begins with nothing", "file", k.file.Path, "error", err)
		return k, nil
	case err != nil:
		aside, failed := k.file.Quarantine(time.Now())
		log.Error("what is kept is not whole: the agent begins with nothing", "file", k.file.Path, "error", err, "kept_as", aside, "not_set_aside", failed)
		return k, nil
	}
	var why string
	if k.trust, why = k.previous.Assess(now); k.trust == ondisk.TrustNothing {
		k.disabledReason, k.previous = why, ondisk.Document{}
		log.Error("the folder for what is kept is another agent's: nothing of it is used, and nothing is kept", "dir", k.options.Dir, "why", why)
		return k, nil
	}
	log.Info("knowledge from before", "trusted", k.trust.String(), "why", why, "servers", len(k.previous.Servers), "held_out", len(k.previous.Denylist.DeniedSince))
	return k, nil
}

// fileSystem returns the file system of snapshots and bindings.
func (x Features) fileSystem() atomicfile.FS {
	if x.FS == nil {
		return atomicfile.OS{}
	}
	return x.FS
}

func (s *snapshotStore) reader() (ondisk.Reader, error) {
	run, err := s.options.bootID()
	if err != nil {
		return ondisk.Reader{}, err
	}
	_, since, err := boottime.Read()
	return ondisk.Reader{Agent: s.agent, BootID: run, SinceBoot: since}, err
}

// bootID returns the name of the machine's present boot.
func (r RecoveryOptions) bootID() (string, error) {
	text, err := os.ReadFile(r.BootIDFile)
	return strings.TrimSpace(string(text)), err
}

// startupList returns the endpoint list to start with: that of the snapshot, or the platform's if that is newer.
func (s *snapshotStore) startupList(platform listing.List) listing.List {
	if s == nil || s.trust == ondisk.TrustNothing || len(s.previous.Servers) == 0 || platform.Version > s.previous.ListVersion {
		return platform
	}
	return s.previous.EndpointList(s.trust)
}

// isSameBoot reports whether nothing says that the machine lost power since the agent's last process: then servers may have started anew that a list
// from before has as running.
func (s *snapshotStore) isSameBoot() bool { return s == nil || s.trust == ondisk.TrustEverything }

// firstListTimeout returns how long the first list is awaited before the startup list is used; 0: the default.
func (s *snapshotStore) firstListTimeout() time.Duration {
	if s == nil {
		return 0
	}
	return max(s.options.FirstListTimeout, time.Millisecond)
}

// previousDenylist returns the denylist of the snapshot.
func (s *snapshotStore) previousDenylist() (st denylist.Snapshot) {
	if s != nil {
		st = s.previous.Denylist
	}
	return st
}

// run writes snapshots until the context ends, and one more then.
func (s *snapshotStore) run(ctx context.Context) {
	defer s.close()
	tick := time.NewTicker(s.options.WriteInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			s.writeAndLog(context.WithoutCancel(ctx))
			return
		case <-tick.C:
		case <-s.wake:
			select {
			case <-ctx.Done():
			case <-time.After(urgentWriteDelay):
			}
		}
		s.writeAndLog(ctx)
	}
}

// writeAndLog writes a snapshot if anything has changed, and logs an error at most once in writeErrorLogInterval.
func (s *snapshotStore) writeAndLog(ctx context.Context) {
	err := s.write(ctx)
	s.mu.Lock()
	if s.writeError = err; errors.Is(err, errOtherWriter) {
		s.writeError = nil
	}
	s.mu.Unlock()
	if err == nil || errors.Is(err, errOtherWriter) || ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.loggedAt) > writeErrorLogInterval {
		s.loggedAt = time.Now()
		s.log.Error("what the agent knows can't be kept: after a loss of power it would begin with what was kept before", "error", err)
	}
}

// errOtherWriter reports that another process of the agent holds the lock of the snapshot: the previous one, until it has ended.
var errOtherWriter = errors.New("another process of the agent writes")

// write writes a snapshot. When it returns without an error, the snapshot is durable.
func (s *snapshotStore) write(ctx context.Context) error {
	if s.disabledReason != "" {
		return errors.New(s.disabledReason)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.release == nil {
		release, err := atomicfile.Lock(s.file.Path)
		if errors.Is(err, atomicfile.ErrLocked) {
			return errOtherWriter
		}
		if err != nil {
			return err
		}
		s.release = release
	}
	d, ok, err := s.document(ctx)
	if err != nil || !ok {
		return err
	}
	if d.HasSameContent(s.lastWritten) && time.Since(s.writtenAt) < maxSnapshotAge {
		return nil
	}
	d.WriteCount = max(s.lastWritten.WriteCount, s.previous.WriteCount) + 1
	text, err := d.Encode()
	if err != nil {
		return err
	}
	if err := s.file.Save(text); err != nil {
		return err
	}
	s.lastWritten, s.writtenAt = d, time.Now()
	return nil
}

// document returns the content of a snapshot; ok is false before the agent has received any endpoint.
func (s *snapshotStore) document(ctx context.Context) (d ondisk.Document, ok bool, err error) {
	version := s.listVersion() // first: a list that is older than its version would never be told of what it lacks
	known, err := s.core.Snapshot(ctx)
	if err != nil || len(known.Members) == 0 && len(known.Denylist.DeniedSince) == 0 {
		return d, false, err
	}
	now, err := s.reader()
	if err != nil {
		return d, false, err
	}
	d = ondisk.Document{Agent: now.Agent, BootID: now.BootID, SinceBoot: now.SinceBoot.Milliseconds(), Capacity: map[string]float64{},
		ClassRates: map[string]float64{}, Utilization: twoDigits(known.Recovery.Utilization), Denylist: known.Denylist, ListVersion: version}
	for _, m := range known.Members {
		d.Servers = append(d.Servers, s.decoder.Encode(m))
	}
	for _, s := range known.Recovery.Servers {
		if s.Capacity > 0 {
			d.Capacity[s.ID] = twoDigits(s.Capacity)
		}
	}
	names := s.core.Counters().Classes
	for class, rate := range known.Recovery.ClassRates {
		if class < len(names) && rate > 0 {
			d.ClassRates[names[class]] = twoDigits(rate)
		}
	}
	return d, true, nil
}

// twoDigits rounds x to two significant digits, so that a small change is not written again.
func twoDigits(x float64) float64 {
	scale := math.Pow(10, 1-math.Floor(math.Log10(max(math.Abs(x), 1e-9))))
	return math.Round(x*scale) / scale
}

func (s *snapshotStore) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.release != nil {
		besteffort.Ignore(s.release())
		s.release = nil
	}
}
