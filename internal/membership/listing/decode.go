package listing

import (
	"fmt"
	"net"
	"slices"
	"time"
	"unique"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// InvalidEntry is an entry that can't be used.
type InvalidEntry struct {
	ID  string // as far as it could be read
	Err error
}

// Decoder turns entries into members and back.
type Decoder struct {
	Zones       []string      // names, in the order of the balancer's numbers
	Clock       engine.Clock  // start times come out on it
	ClockOffset time.Duration // by which the clock of the list's start times is ahead of Clock
}

// Decode returns the members of a list, in its order, and the entries that can't be used.
func (r Decoder) Decode(l List) (members []engine.Member, invalid []InvalidEntry) {
	members = make([]engine.Member, 0, len(l.Servers))
	for _, e := range l.Servers {
		m, err := r.decodeEntry(e)
		if err != nil {
			invalid = append(invalid, InvalidEntry{e.ID, err})
			continue
		}
		members = append(members, m)
	}
	return members, invalid
}

// decodeEntry checks one entry. A removed server needs no address.
func (r Decoder) decodeEntry(e Entry) (m engine.Member, err error) {
	state, ok := stateNames[e.State]
	switch {
	case e.decodeErr != nil:
		return m, e.decodeErr
	case e.ID == "" || !ok:
		return m, fmt.Errorf("id %q with state %q", e.ID, e.State)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil && state != balancer.Removed {
		return m, err
	}
	return engine.Member{Addr: e.Addr, Kind: internKind(e.Kind), Server: balancer.Server{ID: e.ID, State: state, Zone: slices.Index(r.Zones, e.Zone), Cell: e.Cell,
		Weight: e.Weight, Started: r.startTime(e.StartedMS)}}, nil
}

// startTime returns a start on the own clock; 0, long ago, stays 0.
func (r Decoder) startTime(ms int64) time.Duration {
	if ms != 0 {
		ms -= r.ClockOffset.Milliseconds()
	}
	return r.Clock.FromUnix(ms)
}

// Encode writes a member as an entry, the reverse of Decode.
func (r Decoder) Encode(m engine.Member) Entry {
	e := Entry{ID: m.ID, Addr: m.Addr, Kind: m.Kind, Cell: m.Cell, Weight: m.Weight}
	for name, state := range stateNames {
		if state == m.State {
			e.State = name
		}
	}
	if m.Zone >= 0 && m.Zone < len(r.Zones) {
		e.Zone = r.Zones[m.Zone]
	}
	if m.Started != 0 {
		e.StartedMS = r.Clock.At(m.Started).UnixMilli() + r.ClockOffset.Milliseconds()
	}
	return e
}

// internKind returns the one copy of a kind's name: a list has few kinds and names each thousands of times.
func internKind(name string) string { return unique.Make(name).Value() }
