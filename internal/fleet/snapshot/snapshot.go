// Package snapshot is what an agent keeps of its knowledge on disk, who wrote it and when, and how far it is trusted when it is read
// again. It does no I/O; internal/atomicfile has the file.
package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"appleledge/internal/denylist"
	"appleledge/internal/fleet/recovery"
	"appleledge/internal/membership/listing"
)

// Bounds on a document.
const (
	formatVersion  = 1
	maxServers     = 1 << 17
	maxNameBytes   = 512 // bytes of an id, an address or any other name
	maxClasses     = 256
	maxRequestRate = 1e9
)

// Document is all that is kept.
type Document struct {
	FormatVersion  int                `json:"form"`
	Agent          string             `json:"agent"`      // who wrote it: name and address
	BootID         string             `json:"run"`        // of the machine, in which it was written
	SinceBoot      int64              `json:"since_boot"` // milliseconds of that run, when it was written
	PreviousWrites uint64             `json:"writes"`     // before it, of this agent
	ListVersion    int64              `json:"version"`    // of the list
	Servers        []listing.Entry    `json:"servers"`
	Capacity       map[string]float64 `json:"capacity,omitempty"` // requests a second when warm, by server
	ClassRates     map[string]float64 `json:"usual,omitempty"`    // requests a second that the agent is asked, by class
	Utilization    float64            `json:"use,omitempty"`      // of the servers, from 0 to 1
	Denylist       denylist.Snapshot  `json:"bans"`
}

// Decode reads a document. The error says what is wrong with it; nothing of it is to be used then.
func Decode(text []byte) (d Document, err error) {
	if err := json.Unmarshal(text, &d); err != nil {
		return Document{}, err
	}
	if err := d.validate(); err != nil {
		return Document{}, err
	}
	return d, nil
}

func (d Document) validate() error {
	switch {
	case d.FormatVersion != formatVersion:
		return fmt.Errorf("it has form %d, and this program knows %d", d.FormatVersion, formatVersion)
	case d.Agent == "" || d.BootID == "" || len(d.Agent) > maxNameBytes || len(d.BootID) > maxNameBytes:
		return errors.New("it does not say who wrote it, or in which run of the machine")
	case d.SinceBoot < 0 || d.SinceBoot > math.MaxInt64/int64(time.Millisecond):
		return fmt.Errorf("it was written %d ms into a run", d.SinceBoot)
	case len(d.Servers) > maxServers || len(d.Capacity) > maxServers || len(d.ClassRates) > maxClasses:
		return fmt.Errorf("it has %d servers and %d classes", len(d.Servers), len(d.ClassRates))
	case !(d.Utilization >= 0 && d.Utilization <= 1):
		return fmt.Errorf("a use of %v", d.Utilization)
	}
	for _, rates := range []map[string]float64{d.Capacity, d.ClassRates} {
		for name, rate := range rates {
			if !(rate >= 0 && rate <= maxRequestRate) || len(name) > maxNameBytes {
				return fmt.Errorf("%.64q has a rate of %v", name, rate)
			}
		}
	}
	for _, e := range d.Servers {
		if e.ID == "" || len(e.ID) > maxNameBytes || len(e.Addr) > maxNameBytes || len(e.Zone) > maxNameBytes || len(e.Kind) > maxNameBytes {
			return fmt.Errorf("the server %.64q has no name, or one that is too long", e.ID)
		}
	}
	return nil
}

// Encode is the document as it is kept.
func (d Document) Encode() ([]byte, error) {
	d.FormatVersion = formatVersion
	if err := d.validate(); err != nil {
		return nil, err
	}
	return json.Marshal(d)
}

// HasSameContent reports whether two documents differ in when they were written alone.
func (d Document) HasSameContent(o Document) bool {
	return d.ListVersion == o.ListVersion && slices.Equal(d.Servers, o.Servers) && maps.Equal(d.Capacity, o.Capacity) && maps.Equal(d.ClassRates, o.ClassRates) &&
		d.Utilization == o.Utilization && maps.Equal(d.Denylist.DeniedSince, o.Denylist.DeniedSince) && maps.Equal(d.Denylist.AllowedSince, o.Denylist.AllowedSince) && slices.Equal(d.Denylist.KnownIDs, o.Denylist.KnownIDs)
}

// Reader is who reads a document, and when.
type Reader struct {
	Agent     string
	BootID    string // of the machine; empty: not known
	SinceBoot time.Duration
}

// Trust is how far a document is trusted.
type Trust int

// The kinds of trust.
const (
	TrustNothing    Trust = iota // somebody else's
	TrustNames                   // the servers were there, nothing more: the machine has lost its run, and with it the time
	TrustEverything              // it is so old as it says
)

func (t Trust) String() string { return [...]string{"none", "names", "complete"}[t] }

// Assess says how far the document is trusted, and why. Wall clocks decide nothing: after a loss of power they may be at 1970, or
// an hour off. A run of the machine is told by its name, and within one the time since its start cannot be set.
func (d Document) Assess(now Reader) (Trust, string) {
	written := time.Duration(d.SinceBoot) * time.Millisecond
	switch {
	case d.Agent != now.Agent:
		return TrustNothing, fmt.Sprintf("it is of the agent %q", d.Agent)
	case now.BootID == "":
		return TrustNames, "the run of the machine is not known"
	case d.BootID != now.BootID:
		return TrustNames, "the machine has started anew since it was written"
	case written > now.SinceBoot+time.Second:
		return TrustNames, "it says that it was written later in this run of the machine than now"
	}
	return TrustEverything, fmt.Sprintf("it was written %v ago", (now.SinceBoot - written).Round(time.Millisecond))
}

// EndpointList is the list to begin with. Where the names alone are trusted nobody knows when a server has started.
func (d Document) EndpointList(t Trust) listing.List {
	if t == TrustNothing {
		return listing.List{}
	}
	l := listing.List{Version: d.ListVersion, Full: true, Servers: slices.Clone(d.Servers)}
	if t == TrustNames {
		for i := range l.Servers {
			l.Servers[i].StartedMS = 0
		}
	}
	return l
}

// RecoveryBaseline is what a recovery goes by; classes are the names of the platform's, by number.
func (d Document) RecoveryBaseline(classes []string) recovery.Baseline {
	b := recovery.Baseline{Utilization: d.Utilization, ClassRates: make([]float64, len(classes))}
	for i, name := range classes {
		b.ClassRates[i] = d.ClassRates[name]
	}
	for _, e := range d.Servers {
		b.Servers = append(b.Servers, recovery.BaselineServer{ID: e.ID, Cell: e.Cell, Ready: e.State == listing.StateReady, Capacity: d.Capacity[e.ID]})
	}
	return b
}
