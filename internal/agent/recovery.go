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

	"appleledge/internal/affinity/bindinglog"
	"appleledge/internal/atomicfile"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/denylist"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/recovery"
	ondisk "appleledge/internal/fleet/snapshot"
	"appleledge/internal/membership/listing"
)

// Recovery says how what the agent knows is kept over a loss of power.
type Recovery struct {
	Dir      string        // that keeps it
	RunFile  string        // names the run of the machine
	Every    time.Duration // between two writes of what changes all the time
	ListWait time.Duration // for the list at a start, before the servers from before are used
	LogEvery time.Duration // between two lines while service has not returned
}

const (
	knowledge     = "knowledge"            // the file's name
	recoveryFiles = 4                      // descriptors: the lock, and what is written and read
	soonAfter     = 10 * time.Millisecond  // what has to be kept at once is written; what comes meanwhile goes with it
	clientsReturn = 10 * time.Second       // after its deadline and window, that a client may come back with a request
	staleWrite    = 10 * time.Second       // for which nothing is written where nothing has changed
	troubleLog    = 10 * time.Second       // between two lines on what can't be kept
	statusLook    = 100 * time.Millisecond // between two looks at how recovery stands, for the log
)

// keeping is what an agent keeps on disk, and what it was before.
type keeping struct {
	set     Recovery
	file    atomicfile.File
	reader  listing.Decoder
	agent   string
	log     *slog.Logger
	trust   ondisk.Trust
	before  ondisk.Document
	off     string        // why nothing is kept; empty: it is
	wake    chan struct{} // holds one wake-up: something has to be kept at once
	core    *engine.Engine
	repeats time.Duration // for which a client may come back with a request from before

	mu      sync.Mutex // one write at a time
	release func() error
	last    ondisk.Document
	written time.Time
	logged  time.Time
	trouble error // of the last try to write
}

// openKept reads what an earlier life of the agent has kept. It is nil where nothing is kept. What can't be read is no reason not to
// start: the agent begins with nothing, and says so.
func (x Extras) openKept(cfg Config, clk engine.Clock, log *slog.Logger) (*keeping, error) {
	if x.Recovery == nil {
		return nil, nil
	}
	k := &keeping{set: *x.Recovery, reader: listing.Decoder{Zones: cfg.Site.Zones, Clock: clk}, agent: cfg.Name + " " + cfg.Listen, log: log,
		wake: make(chan struct{}, 1)}
	if err := os.MkdirAll(k.set.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("recovery: the folder for what is kept: %w", err)
	}
	k.file = atomicfile.File{Path: filepath.Join(k.set.Dir, knowledge), FS: x.disk()}
	k.repeats = clientsReturn
	for _, c := range cfg.Site.Balancer.Classes {
		k.repeats = max(k.repeats, c.Deadline+c.DedupWindow+clientsReturn)
	}
	if x.Ties == nil || x.Ties.Dir == "" || !x.Ties.Sync {
		log.Warn("a loss of power loses where refunds went, as [affinity] does not keep it with sync: repeats that clients do not mark may run twice then")
	}
	now, err := k.now()
	if err != nil {
		return nil, fmt.Errorf("recovery: the run of the machine: %w", err)
	}
	text, err := k.file.Load()
	if err == nil {
		k.before, err = ondisk.Decode(text)
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
	if k.trust, why = k.before.Assess(now); k.trust == ondisk.TrustNothing {
		k.off, k.before = why, ondisk.Document{}
		log.Error("the folder for what is kept is another agent's: nothing of it is used, and nothing is kept", "dir", k.set.Dir, "why", why)
		return k, nil
	}
	log.Info("knowledge from before", "trusted", k.trust.String(), "why", why, "servers", len(k.before.Servers), "held_out", len(k.before.Denylist.DeniedSince))
	return k, nil
}

// disk is where what is kept goes.
func (x Extras) disk() atomicfile.FS {
	if x.Disk == nil {
		return atomicfile.OS{}
	}
	return x.Disk
}

func (k *keeping) now() (ondisk.Reader, error) {
	run, err := k.set.run()
	if err != nil {
		return ondisk.Reader{}, err
	}
	_, since, err := bindinglog.BootTime()
	return ondisk.Reader{Agent: k.agent, BootID: run, SinceBoot: since}, err
}

// run names the present run of the machine.
func (r Recovery) run() (string, error) {
	text, err := os.ReadFile(r.RunFile)
	return strings.TrimSpace(string(text)), err
}

// known is the list to begin with: what was kept, or what the platform says if that is newer.
func (k *keeping) known(platform listing.List) listing.List {
	if k == nil || k.trust == ondisk.TrustNothing || len(k.before.Servers) == 0 || platform.Version > k.before.ListVersion {
		return platform
	}
	return k.before.EndpointList(k.trust)
}

// wait is how long the list is waited for before the known one is used; 0: as usual.
func (k *keeping) wait() time.Duration {
	if k == nil {
		return 0
	}
	return max(k.set.ListWait, time.Millisecond)
}

// bans are those from before.
func (k *keeping) bans() (st denylist.Snapshot) {
	if k != nil {
		st = k.before.Denylist
	}
	return st
}

// attach puts the recovery at the engine's door, before it runs.
func (k *keeping) attach(core *engine.Engine, clk engine.Clock, cfg Config, behind recovery.Admitter, heard func() bool, askFor time.Duration) {
	k.core = core
	site := cfg.Site.Balancer
	o := recovery.Options{Agents: site.Balancers, Self: site.Index, ColdCapacityRatio: site.SlowStartInitialRatio, WarmupTime: site.SlowStartDuration, ColdOverloadFactor: site.WarmingOverloadRatio,
		MaxRetryAfter: site.MaxRetryAfter, PeerPollTime: askFor, Seed: cfg.Seed}
	for _, c := range site.Classes {
		o.Classes = append(o.Classes, recovery.Class{Name: c.Name, Priority: c.Priority, LatencyObjective: c.LatencyObjective, Idempotent: c.Effect == balancer.Idempotent})
	}
	r := recovery.New(o, behind)
	before := k.before.RecoveryBaseline(k.classes(site.Classes))
	switch k.trust {
	case ondisk.TrustNames:
		r.Start(clk.Now(), before, "the machine has started anew")
	case ondisk.TrustEverything: // the servers have run on, as the machine has
		r.Resume(before)
	default:
		r.Start(clk.Now(), recovery.Baseline{}, "nothing is known from before")
	}
	core.SetRecovery(r, heard, func() {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	})
	if k.trust != ondisk.TrustEverything { // whatever is on the disk: it may be a backup's, or of before the last that was sent
		core.FailUnknownRepeatsUntil(clk.Now() + k.repeats)
	}
}

func (k *keeping) classes(classes []balancer.Class) (names []string) {
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}

// run keeps what the agent knows until the context ends, and once more then.
func (k *keeping) run(ctx context.Context) {
	defer k.close()
	tick := time.NewTicker(k.set.Every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			k.save(context.WithoutCancel(ctx))
			return
		case <-tick.C:
		case <-k.wake:
			select {
			case <-ctx.Done():
			case <-time.After(soonAfter):
			}
		}
		k.save(ctx)
	}
}

// save writes what the agent knows now, if that is news, and logs what keeps it from that.
func (k *keeping) save(ctx context.Context) {
	err := k.keep(ctx)
	k.mu.Lock()
	if k.trouble = err; errors.Is(err, errElsewhere) {
		k.trouble = nil
	}
	k.mu.Unlock()
	if err == nil || errors.Is(err, errElsewhere) || ctx.Err() != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.logged) > troubleLog {
		k.logged = time.Now()
		k.log.Error("what the agent knows can't be kept: after a loss of power it would begin with what was kept before", "error", err)
	}
}

// errElsewhere says that another process of the agent keeps what it knows: that of the version before, until it has ended.
var errElsewhere = errors.New("another process of the agent writes")

// keep writes what the agent knows now. When it returns without an error that lasts.
func (k *keeping) keep(ctx context.Context) error {
	if k.off != "" {
		return errors.New(k.off)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.release == nil {
		release, err := atomicfile.Lock(k.file.Path)
		if errors.Is(err, atomicfile.ErrLocked) {
			return errElsewhere
		}
		if err != nil {
			return err
		}
		k.release = release
	}
	d, ok, err := k.document(ctx)
	if err != nil || !ok {
		return err
	}
	if d.HasSameContent(k.last) && time.Since(k.written) < staleWrite {
		return nil
	}
	d.WriteCount = max(k.last.WriteCount, k.before.WriteCount) + 1
	text, err := d.Encode()
	if err != nil {
		return err
	}
	if err := k.file.Save(text); err != nil {
		return err
	}
	k.last, k.written = d, time.Now()
	return nil
}

// document is what the agent knows now; ok is false before it has been told of any server.
func (k *keeping) document(ctx context.Context) (d ondisk.Document, ok bool, err error) {
	known, err := k.core.Snapshot(ctx)
	if err != nil || len(known.Members) == 0 && len(known.Denylist.DeniedSince) == 0 {
		return d, false, err
	}
	now, err := k.now()
	if err != nil {
		return d, false, err
	}
	d = ondisk.Document{Agent: now.Agent, BootID: now.BootID, SinceBoot: now.SinceBoot.Milliseconds(), Capacity: map[string]float64{},
		ClassRates: map[string]float64{}, Utilization: rounded(known.Recovery.Utilization), Denylist: known.Denylist}
	for _, m := range known.Members {
		d.Servers = append(d.Servers, k.reader.Encode(m))
	}
	for _, s := range known.Recovery.Servers {
		if s.Capacity > 0 {
			d.Capacity[s.ID] = rounded(s.Capacity)
		}
	}
	names := k.core.Counters().Classes
	for class, rate := range known.Recovery.ClassRates {
		if class < len(names) && rate > 0 {
			d.ClassRates[names[class]] = rounded(rate)
		}
	}
	return d, true, nil
}

// rounded is a figure to two places, so that what hardly moves is not written again.
func rounded(x float64) float64 {
	scale := math.Pow(10, 1-math.Floor(math.Log10(max(math.Abs(x), 1e-9))))
	return math.Round(x*scale) / scale
}

func (k *keeping) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.release != nil {
		besteffort.Ignore(k.release())
		k.release = nil
	}
}

// say logs each change of the phase, and every so often how it stands while service has not returned.
func (k *keeping) say(ctx context.Context, clk engine.Clock) {
	last, logged := recovery.Status{}, time.Duration(0)
	every(ctx, statusLook, func() {
		st := k.core.Stats().Recovery
		if st == nil {
			return
		}
		now := clk.Now()
		if st.Phase != last.Phase || st.Phase != recovery.FullService && now-logged >= k.set.LogEvery {
			logged = now
			k.log.Info("recovery", "phase", st.Phase.String(), "why", st.Reason, "let_in", rounded(st.AdmissionRate), "warm", rounded(st.WarmCapacityRatio),
				"servers", st.Servers, "answered", st.RespondingServers, "trials", st.Counts.Trials, "in_vain", st.Counts.FailedTrials)
		}
		last = *st
	})
}
