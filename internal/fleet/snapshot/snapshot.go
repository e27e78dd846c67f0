// Package snapshot defines what an agent saves of its state to disk and how far it trusts a saved state when it starts again.
//
// A Document holds the endpoint list, the capacity of each server, the usual request rates and the denylist. Its writer is named by agent
// and by boot of the machine. After a start the agent decodes the file and calls Assess, which answers one of:
//
//   - TrustNothing: another agent wrote it, such as on a copied disk. Nothing of it is used and nothing is written over it.
//   - TrustNames: the machine has rebooted since, or may have. The servers existed; whether they run, and for how long, isn't known.
//   - TrustEverything: it was written in this boot. Its age is known, as the time since boot can't be set.
//
// No wall clock takes part: after a loss of power it may be years off, and a snapshot restored from a backup would look new.
//
// The package does no I/O. Package agent reads and writes the file by package atomicfile; package recovery starts from the Baseline that
// a Document holds.
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

// formatVersion is the only version of the format that this program reads and writes.
const formatVersion = 1

// What a document may hold. A file that was damaged, or that somebody else wrote, must not cost the agent its memory.
const (
	maxServers     = 1 << 17
	maxClasses     = 256
	maxNameBytes   = 512 // an id, an address or any other name
	maxRequestRate = 1e9 // requests a second
)

// Document is a saved state. Its JSON names are the file format and don't follow renamed fields.
type Document struct {
	FormatVersion int                `json:"form"`
	Agent         string             `json:"agent"`              // the writer: name and address
	BootID        string             `json:"run"`                // of the machine's boot in which it was written
	SinceBoot     int64              `json:"since_boot"`         // milliseconds from that boot until it was written
	WriteCount    uint64             `json:"writes"`             // that the same agent made before
	ListVersion   int64              `json:"version"`            // of the endpoint list
	Servers       []listing.Entry    `json:"servers"`            // the endpoint list
	Capacity      map[string]float64 `json:"capacity,omitempty"` // requests a second of a warm server, by server id
	ClassRates    map[string]float64 `json:"usual,omitempty"`    // usual requests a second at this agent, by class name
	Utilization   float64            `json:"use,omitempty"`      // usual utilization of the servers, from 0 to 1
	Denylist      denylist.Snapshot  `json:"bans"`
}

// Decode reads a document that Encode wrote. After an error nothing of the document may be used.
func Decode(text []byte) (Document, error) {
	var d Document
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
	case !(d.Utilization >= 0 && d.Utilization <= 1): // also of NaN
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

// Encode returns the document as it is written to disk, in the current format version. It fails if the document couldn't be decoded.
func (d Document) Encode() ([]byte, error) {
	d.FormatVersion = formatVersion
	if err := d.validate(); err != nil {
		return nil, err
	}
	return json.Marshal(d)
}

// HasSameContent reports whether two documents hold the same state, whoever wrote them and when.
func (d Document) HasSameContent(other Document) bool {
	return d.ListVersion == other.ListVersion && slices.Equal(d.Servers, other.Servers) && maps.Equal(d.Capacity, other.Capacity) &&
		maps.Equal(d.ClassRates, other.ClassRates) && d.Utilization == other.Utilization &&
		maps.Equal(d.Denylist.DeniedSince, other.Denylist.DeniedSince) && maps.Equal(d.Denylist.AllowedSince, other.Denylist.AllowedSince) &&
		slices.Equal(d.Denylist.KnownIDs, other.Denylist.KnownIDs)
}

// Reader says which agent reads a document, and when.
type Reader struct {
	Agent     string        // name and address, as in Document.Agent
	BootID    string        // of the machine's present boot; empty: not known
	SinceBoot time.Duration // from that boot until now
}

// Trust is how much of a document may be used.
type Trust int

// The levels of trust, the lowest first.
const (
	TrustNothing    Trust = iota // another agent wrote it
	TrustNames                   // the servers existed; their state and the document's age aren't known
	TrustEverything              // it is as old as it says
)

// String returns the level's word in the log and for operators.
func (t Trust) String() string { return [...]string{"none", "names", "complete"}[t] }

// Assess returns how much of the document the reader may use, and the reason as a text for the log. It goes by the boot that the document
// names and by the time since that boot, never by a wall clock: after a loss of power that may be at 1970 or an hour off, and an old list
// would be taken for a new one.
func (d Document) Assess(reader Reader) (Trust, string) {
	written := time.Duration(d.SinceBoot) * time.Millisecond
	switch {
	case d.Agent != reader.Agent:
		return TrustNothing, fmt.Sprintf("it is of the agent %q", d.Agent)
	case reader.BootID == "":
		return TrustNames, "the run of the machine is not known"
	case d.BootID != reader.BootID:
		return TrustNames, "the machine has started anew since it was written"
	case written > reader.SinceBoot+time.Second:
		return TrustNames, "it says that it was written later in this run of the machine than now"
	}
	return TrustEverything, fmt.Sprintf("it was written %v ago", (reader.SinceBoot - written).Round(time.Millisecond))
}

// EndpointList returns the list to start with at a level of trust; it is empty for TrustNothing. At TrustNames no server has a start
// time: with the one in the document a server that has restarted since would be taken for warm and be sent more than it can serve.
func (d Document) EndpointList(trust Trust) listing.List {
	if trust == TrustNothing {
		return listing.List{}
	}
	list := listing.List{Version: d.ListVersion, Full: true, Servers: slices.Clone(d.Servers)}
	if trust == TrustNames {
		for i := range list.Servers {
			list.Servers[i].StartedMS = 0
		}
	}
	return list
}

// RecoveryBaseline returns what a recovery.Controller starts from. classes are the names of the request classes, by number; a class that
// the document doesn't name has the rate 0.
func (d Document) RecoveryBaseline(classes []string) recovery.Baseline {
	baseline := recovery.Baseline{Utilization: d.Utilization, ClassRates: make([]float64, len(classes))}
	for i, name := range classes {
		baseline.ClassRates[i] = d.ClassRates[name]
	}
	for _, e := range d.Servers {
		baseline.Servers = append(baseline.Servers, recovery.BaselineServer{ID: e.ID, Cell: e.Cell, Ready: e.State == listing.StateReady, Capacity: d.Capacity[e.ID]})
	}
	return baseline
}
