// Package listing reads a list of servers in the form of the platform's discovery: JSON with a version and an entry for
// each server. Files that are watched have the same form.
package listing

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"
	"unique"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// List is a list of servers or a change of it. A bad entry spoils no other.
type List struct {
	Version int64
	Full    bool
	Servers []Entry
}

// Encode is a server of the list, or what is wrong with it.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // host and port
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"` // of machine
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix time; 0 for long ago

	err error
}

// StateReady is the state of a server that takes requests.
const StateReady = "Ready"

var states = map[string]balancer.State{StateReady: balancer.Ready, "Terminating": balancer.Draining, "Gone": balancer.Removed}

// Parse reads a list. Its errors name the line. It goes through the text once and holds nothing of it but the entries: a
// list of 10,000 servers has over a megabyte, and an agent may have 32.
func Parse(data []byte) (l List, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	if err = l.parse(d); err == nil {
		if _, err = d.Token(); err == io.EOF {
			return l, nil
		} else if err == nil {
			err = errors.New("something follows the list")
		}
	}
	at := int(d.InputOffset())
	if err == io.EOF || err == io.ErrUnexpectedEOF { // it is cut midway
		at, err = len(data), io.ErrUnexpectedEOF
	} else if syntax, ok := errors.AsType[*json.SyntaxError](err); ok {
		at = int(syntax.Offset)
	}
	line := 1 + bytes.Count(data[:min(at, len(data))], []byte{'\n'})
	return l, fmt.Errorf("line %d: %w", line, err)
}

func (l *List) parse(d *json.Decoder) error {
	switch open, err := d.Token(); {
	case err != nil:
		return err
	case open == nil: // null
		return nil
	case open != json.Delim('{'):
		return fmt.Errorf("a list is an object, not %v", open)
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return err
		}
		switch key {
		case "version":
			err = d.Decode(&l.Version)
		case "full":
			err = d.Decode(&l.Full)
		case "servers":
			err = l.entries(d)
		default:
			var other json.RawMessage
			err = d.Decode(&other)
		}
		if err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func (l *List) entries(d *json.Decoder) error {
	l.Servers = nil
	switch open, err := d.Token(); {
	case err != nil:
		return err
	case open == nil:
		return nil
	case open != json.Delim('['):
		return fmt.Errorf("servers is no array but %v", open)
	}
	l.Servers = []Entry{}
	for d.More() {
		var e Entry
		err := d.Decode(&e)
		if _, wrong := errors.AsType[*json.UnmarshalTypeError](err); wrong {
			e.err = err // and the next one can be read
		} else if err != nil {
			return err
		}
		l.Servers = append(l.Servers, e)
	}
	_, err := d.Token()
	return err
}

// InvalidEntry is an entry that can't be used.
type InvalidEntry struct {
	ID  string // as far as it could be read
	Err error
}

// Decoder turns entries into members.
type Decoder struct {
	Zones       []string // names, in the order of the module's numbers
	Clock       engine.Clock
	ClockOffset time.Duration // by which the clock of the lists is ahead
}

// Decode reads the entries of a list.
func (r Decoder) Decode(l List) (members []engine.Member, bad []InvalidEntry) {
	members = make([]engine.Member, 0, len(l.Servers))
	for _, e := range l.Servers {
		m, err := r.member(e)
		if err != nil {
			bad = append(bad, InvalidEntry{e.ID, err})
			continue
		}
		members = append(members, m)
	}
	return members, bad
}

func (r Decoder) member(e Entry) (m engine.Member, err error) {
	state, ok := states[e.State]
	switch {
	case e.err != nil:
		return m, e.err
	case e.ID == "" || !ok:
		return m, fmt.Errorf("id %q with state %q", e.ID, e.State)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil && state != balancer.Removed {
		return m, err
	}
	return engine.Member{Addr: e.Addr, Kind: kind(e.Kind), Server: balancer.Server{ID: e.ID, State: state, Zone: slices.Index(r.Zones, e.Zone), Cell: e.Cell,
		Weight: e.Weight, Started: r.started(e.StartedMS)}}, nil
}

// started is a start on the own clock; 0 stays 0.
func (r Decoder) started(ms int64) time.Duration {
	if ms != 0 {
		ms -= r.ClockOffset.Milliseconds()
	}
	return r.Clock.FromUnix(ms)
}

// Encode writes a member as an entry, as Members reads it.
func (r Decoder) Encode(m engine.Member) Entry {
	e := Entry{ID: m.ID, Addr: m.Addr, Kind: m.Kind, Cell: m.Cell, Weight: m.Weight}
	for name, state := range states {
		if state == m.State {
			e.State = name
		}
	}
	if m.Zone >= 0 && m.Zone < len(r.Zones) {
		e.Zone = r.Zones[m.Zone]
	}
	if m.Started != 0 {
		e.StartedMS = r.Clock.At(m.Started).UnixMilli()
	}
	return e
}

// kind is the one copy of a kind's name: a list has few of them, and names each thousands of times.
func kind(name string) string { return unique.Make(name).Value() }
