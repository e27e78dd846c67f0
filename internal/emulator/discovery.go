package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"appleledge/internal/besteffort"
)

// Entry is a server of the endpoint list, in the platform's format.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // Ready, Terminating, or Gone
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix time; 0 for long ago
}

// maxWatchTime is the longest that a watch waits.
const maxWatchTime = time.Minute

// catchUpCallTime is spent on each call of a silence, in turn, when it is over: as long as the calls of twenty more agents take.
const catchUpCallTime = 40 * time.Millisecond

// Discovery serves the endpoint list on a loopback socket: the whole list, and watches for changes since a version. Its
// updates can be delayed, and it can be made unavailable or silent. It is safe for concurrent use.
type Discovery struct {
	Addr string // host and port

	server *http.Server
	served sync.WaitGroup

	mu             sync.Mutex
	version        int64
	entries        map[string]versionedEntry
	order          []string      // ids in the order in which they were first named
	gone           []string      // ids that are gone, for watches; the oldest are dropped
	droppedVersion int64         // the latest version of a server that was dropped from them
	changed        chan struct{} // closed at the next change
	lag            time.Duration
	isUnavailable  bool
	isSilent       bool
	silentCalls    []chan struct{}          // of a silence, in turn; each is closed when its call may go on
	delayed        map[*time.Timer]struct{} // changes that are on their way
	closed         bool
}

// versionedEntry is an entry and the version of its latest change.
type versionedEntry struct {
	Entry
	version int64 // of its latest change
}

// maxGoneEntries is how many removed servers watches are still told of. A watch from an older version gets the whole
// list.
const maxGoneEntries = 1024

// list is the protocol's form of a list or of changes.
type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// NewDiscovery starts a discovery on a loopback address, such as 127.0.0.1:0 for a port of its own.
func NewDiscovery(addr string) (*Discovery, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d := &Discovery{Addr: l.Addr().String(), entries: map[string]versionedEntry{}, changed: make(chan struct{}), delayed: map[*time.Timer]struct{}{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.endpoints)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: maxWatchTime}
	d.served.Go(func() { besteffort.Ignore(d.server.Serve(l)) })
	return d, nil
}

// Close ends the discovery.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.closed = true
	for _, turn := range d.silentCalls {
		close(turn)
	}
	d.silentCalls = nil
	for t := range d.delayed {
		t.Stop()
	}
	d.wakeWatches()
	d.mu.Unlock()
	besteffort.Close(d.server)
	d.served.Wait()
}

// Set changes entries, all in one version, after the lag.
func (d *Discovery) Set(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lag <= 0 {
		d.apply(entries)
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d.lag, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.delayed, t)
		d.apply(entries)
	})
	d.delayed[t] = struct{}{}
}

// apply puts entries into the list in a new version and wakes the watches; d.mu is held.
func (d *Discovery) apply(entries []Entry) {
	if d.closed {
		return
	}
	d.version++
	for _, e := range entries {
		if _, known := d.entries[e.ID]; !known {
			d.order = append(d.order, e.ID)
		}
		d.entries[e.ID] = versionedEntry{e, d.version}
		if e.State == "Gone" {
			d.gone = append(d.gone, e.ID)
		}
	}
	for len(d.gone) > maxGoneEntries {
		d.droppedVersion = max(d.droppedVersion, d.entries[d.gone[0]].version)
		delete(d.entries, d.gone[0])
		d.gone = d.gone[1:]
	}
	d.wakeWatches()
}

// wakeWatches lets the watches look at the list again; d.mu is held.
func (d *Discovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetLag delays changes from now on.
func (d *Discovery) SetLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
}

// SetOut makes the discovery unavailable, or available again. Meanwhile calls are answered with 503, and watches end.
func (d *Discovery) SetOut(out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isUnavailable = out
	d.wakeWatches()
}

// SetSilent makes the discovery take calls and answer none. When it ends, the calls of that time are worked through in turn, also those whose
// caller has gone.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isSilent = silent; silent {
		d.wakeWatches() // they are among the calls that are not answered
	} else if !d.closed {
		d.served.Go(d.workThroughSilence)
	}
}

// workThroughSilence lets the calls of a silence go on, one after another.
func (d *Discovery) workThroughSilence() {
	for {
		time.Sleep(catchUpCallTime)
		d.mu.Lock()
		if d.isSilent && !d.closed || len(d.silentCalls) == 0 {
			d.mu.Unlock()
			return
		}
		close(d.silentCalls[0])
		d.silentCalls = d.silentCalls[1:]
		d.mu.Unlock()
	}
}

// awaitEndOfSilence returns at once when the discovery is not silent, and else when the silence is over and it is the call's turn.
func (d *Discovery) awaitEndOfSilence() {
	d.mu.Lock()
	if !d.isSilent && len(d.silentCalls) == 0 || d.closed {
		d.mu.Unlock()
		return
	}
	turn := make(chan struct{})
	d.silentCalls = append(d.silentCalls, turn)
	d.mu.Unlock()
	<-turn
}

// endpoints answers calls for the list and watches.
func (d *Discovery) endpoints(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	whole := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	limit := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchTime))
	defer limit.Stop()
	for {
		d.awaitEndOfSilence()
		d.mu.Lock()
		out, version, news := d.isUnavailable || d.closed, d.version, d.changed
		l := d.listSince(since, whole || since < d.droppedVersion)
		d.mu.Unlock()
		if out {
			http.Error(w, "out of reach", http.StatusServiceUnavailable)
			return
		}
		if whole || version > since {
			writeList(w, l)
			return
		}
		select {
		case <-news:
		case <-limit.C:
			writeList(w, list{Version: since, Servers: []Entry{}})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// listSince returns the whole list, or what has changed since a version; d.mu is held.
func (d *Discovery) listSince(since int64, whole bool) list {
	l := list{Version: d.version, Full: whole, Servers: []Entry{}}
	kept := d.order[:0]
	for _, id := range d.order {
		e, known := d.entries[id]
		if !known {
			continue
		}
		kept = append(kept, id)
		if whole && e.State != "Gone" || !whole && e.version > since {
			l.Servers = append(l.Servers, e.Entry)
		}
	}
	d.order = kept
	return l
}

// writeList answers with a list.
func writeList(w http.ResponseWriter, l list) {
	w.Header().Set("Content-Type", "application/json")
	besteffort.Ignore(json.NewEncoder(w).Encode(l)) // an error means that the caller has gone
}
