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
	form        = 1
	mostServers = 1 << 17
	mostName    = 512 // bytes of an id, an address or any other name
	mostClasses = 256
	mostRate    = 1e9
)

// Document is all that is kept.
type Document struct {
	Form      int                `json:"form"`
	Agent     string             `json:"agent"`      // who wrote it: name and address
	Run       string             `json:"run"`        // of the machine, in which it was written
	SinceBoot int64              `json:"since_boot"` // milliseconds of that run, when it was written
	Writes    uint64             `json:"writes"`     // before it, of this agent
	Version   int64              `json:"version"`    // of the list
	Servers   []listing.Entry    `json:"servers"`
	Capacity  map[string]float64 `json:"capacity,omitempty"` // requests a second when warm, by server
	Usual     map[string]float64 `json:"usual,omitempty"`    // requests a second that the agent is asked, by class
	Use       float64            `json:"use,omitempty"`      // of the servers, from 0 to 1
	Bans      denylist.Snapshot  `json:"bans"`
}

// Parse reads a document. The error says what is wrong with it; nothing of it is to be used then.
func Parse(text []byte) (d Document, err error) {
	if err := json.Unmarshal(text, &d); err != nil {
		return Document{}, err
	}
	if err := d.check(); err != nil {
		return Document{}, err
	}
	return d, nil
}

func (d Document) check() error {
	switch {
	case d.Form != form:
		return fmt.Errorf("it has form %d, and this program knows %d", d.Form, form)
	case d.Agent == "" || d.Run == "" || len(d.Agent) > mostName || len(d.Run) > mostName:
		return errors.New("it does not say who wrote it, or in which run of the machine")
	case d.SinceBoot < 0 || d.SinceBoot > math.MaxInt64/int64(time.Millisecond):
		return fmt.Errorf("it was written %d ms into a run", d.SinceBoot)
	case len(d.Servers) > mostServers || len(d.Capacity) > mostServers || len(d.Usual) > mostClasses:
		return fmt.Errorf("it has %d servers and %d classes", len(d.Servers), len(d.Usual))
	case !(d.Use >= 0 && d.Use <= 1):
		return fmt.Errorf("a use of %v", d.Use)
	}
	for _, rates := range []map[string]float64{d.Capacity, d.Usual} {
		for name, rate := range rates {
			if !(rate >= 0 && rate <= mostRate) || len(name) > mostName {
				return fmt.Errorf("%.64q has a rate of %v", name, rate)
			}
		}
	}
	for _, e := range d.Servers {
		if e.ID == "" || len(e.ID) > mostName || len(e.Addr) > mostName || len(e.Zone) > mostName || len(e.Kind) > mostName {
			return fmt.Errorf("the server %.64q has no name, or one that is too long", e.ID)
		}
	}
	return nil
}

// Text is the document as it is kept.
func (d Document) Text() ([]byte, error) {
	d.Form = form
	if err := d.check(); err != nil {
		return nil, err
	}
	return json.Marshal(d)
}

// Same reports whether two documents differ in when they were written alone.
func (d Document) Same(o Document) bool {
	return d.Version == o.Version && slices.Equal(d.Servers, o.Servers) && maps.Equal(d.Capacity, o.Capacity) && maps.Equal(d.Usual, o.Usual) &&
		d.Use == o.Use && maps.Equal(d.Bans.DeniedSince, o.Bans.DeniedSince) && maps.Equal(d.Bans.AllowedSince, o.Bans.AllowedSince) && slices.Equal(d.Bans.KnownIDs, o.Bans.KnownIDs)
}

// Now is who reads a document, and when.
type Now struct {
	Agent     string
	Run       string // of the machine; empty: not known
	SinceBoot time.Duration
}

// Trust is how far a document is trusted.
type Trust int

// The kinds of trust.
const (
	None     Trust = iota // somebody else's
	Names                 // the servers were there, nothing more: the machine has lost its run, and with it the time
	Complete              // it is so old as it says
)

func (t Trust) String() string { return [...]string{"none", "names", "complete"}[t] }

// Judge says how far the document is trusted, and why. Wall clocks decide nothing: after a loss of power they may be at 1970, or
// an hour off. A run of the machine is told by its name, and within one the time since its start cannot be set.
func (d Document) Judge(now Now) (Trust, string) {
	written := time.Duration(d.SinceBoot) * time.Millisecond
	switch {
	case d.Agent != now.Agent:
		return None, fmt.Sprintf("it is of the agent %q", d.Agent)
	case now.Run == "":
		return Names, "the run of the machine is not known"
	case d.Run != now.Run:
		return Names, "the machine has started anew since it was written"
	case written > now.SinceBoot+time.Second:
		return Names, "it says that it was written later in this run of the machine than now"
	}
	return Complete, fmt.Sprintf("it was written %v ago", (now.SinceBoot - written).Round(time.Millisecond))
}

// List is the list to begin with. Where the names alone are trusted nobody knows when a server has started.
func (d Document) List(t Trust) listing.List {
	if t == None {
		return listing.List{}
	}
	l := listing.List{Version: d.Version, Full: true, Servers: slices.Clone(d.Servers)}
	if t == Names {
		for i := range l.Servers {
			l.Servers[i].StartedMS = 0
		}
	}
	return l
}

// Before is what a recovery goes by; classes are the names of the platform's, by number.
func (d Document) Before(classes []string) recovery.Before {
	b := recovery.Before{Use: d.Use, Usual: make([]float64, len(classes))}
	for i, name := range classes {
		b.Usual[i] = d.Usual[name]
	}
	for _, e := range d.Servers {
		b.Servers = append(b.Servers, recovery.BeforeServer{ID: e.ID, Cell: e.Cell, Ready: e.State == listing.StateReady, Capacity: d.Capacity[e.ID]})
	}
	return b
}
