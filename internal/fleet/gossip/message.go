// Package gossip is how agents know each other: who the others are, who of them lives, and how word travels between them. Failures
// are found out and told as by SWIM (A. Das, I. Gupta and A. Motivala, 2002) with the corrections of Lifeguard (A. Dadgar, J. Phillips
// and J. Currey, 2018), in datagrams of at most 256 bytes, which is what the platform lets agents send.
//
// Core decides and does no I/O; Link seals and opens datagrams; Node holds the socket and the timers.
package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// MaxDatagramBytes is the longest datagram, in bytes.
const MaxDatagramBytes = 256

// Kind says what a message is for.
type Kind uint8

// The kinds of messages.
const (
	Hello   Kind = 1 + iota // a Link's own: wants a number repeated, or repeats one
	Ping                    // wants an Ack
	Ack                     // answers a Ping, also one by way of another
	PingReq                 // wants Target pinged
	Nack                    // says that Target was pinged in vain so far
	Leave                   // the sender ends in order
	Payload                 // carries a Body; since revision 2
)

// State is what is held of an agent.
type State uint8

// The states.
const (
	Unknown State = iota // nothing was heard of it
	Alive
	Suspect // it did not answer; it may say that it lives
	Dead
	Left // it said that it ends
)

func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[min(s, Left)]
}

// MemberUpdate is what is told of an agent.
type MemberUpdate struct {
	State       State
	Member      int
	Incarnation uint32 // of the subject: its own word goes before that of others of the same
	Reporter    int    // who says so, of a suspicion
}

// ObservationKind says what a fact is about.
type ObservationKind uint8

// Observation is a piece of word about something that the agents have in common, such as a server. What it is worth is decided by who
// uses it; see package word.
type Observation struct {
	Kind  ObservationKind
	ID    uint64        // of what it is about
	Value uint32        // as the kind has it
	Age   time.Duration // since it held, to a tenth of a second
}

// Message is a datagram, opened.
type Message struct {
	Kind         Kind
	From, To     int
	Incarnation  uint32 // the sender's
	Number       uint32 // by which an Ack or Nack is told to belong to a Ping or PingReq
	Target       int    // of a PingReq and a Nack: whom it is about; of a Ping and an Ack: how many agents live as the sender knows
	Updates      []MemberUpdate
	Observations []Observation
	Payload      []byte // of a Share: another part's affair

	IsNewSession     bool   // of a Hello that was opened: the sender has proved a life that was not known
	challenge, proof uint64 // of a Hello
}

// The form: a head, records of one byte for the kind and what it has, the code of authentication.
//
//	version 1 (four bits for the form, four for the revision), kind 1, key 1, from 2, to 2, incarnation 4, life 8, echo 8, sequence 4, number 4, target 2
//
// A Hello has no records but a challenge and a proof of 8 bytes each.
//
// Agents of two revisions of one form understand each other, so that a fleet can be upgraded one by one: a later revision adds kinds of
// messages, which are passed over but for what their head says, and kinds of records, which stand behind those that all know. Another
// form is not read at all: agents that speak it are as if they were not there.
const (
	form       = 0
	revision   = 2
	version    = form<<4 | revision
	headSize   = 37
	macSize    = 16
	helloSize  = 16
	rumourSize = 10
	factSize   = 16
	room       = MaxDatagramBytes - headSize - macSize // for records

	// MaxPayloadBytes is how much a Share carries, in bytes.
	MaxPayloadBytes = room

	recordRumour = 1
	recordFact   = 2
	mostAge      = 6553 * time.Second
)

// mostPeers is how many agents a number can name.
const mostPeers = 1 << 16

var (
	errMalformed = errors.New("a datagram that is none of ours")
	// ErrUnsupportedFormat is a datagram of a form that this version can't read.
	ErrUnsupportedFormat = errors.New("a datagram of another form")
)

// recordCapacity is how many rumours and facts fit a datagram beside so many rumours.
func recordCapacity(rumours int) (moreRumours, facts int) {
	left := room - rumours*rumourSize
	return max(0, left/rumourSize), max(0, left/factSize)
}

// stamp is what a Link adds to a message.
type stamp struct {
	key        byte
	life, echo uint64 // of the sender, and of the receiver as the sender knows it
	sequence   uint32
}

// append writes a message without its code.
func (m Message) append(b []byte, s stamp) []byte {
	b = append(b, version, byte(m.Kind), s.key)
	b = binary.BigEndian.AppendUint16(b, uint16(m.From))
	b = binary.BigEndian.AppendUint16(b, uint16(m.To))
	b = binary.BigEndian.AppendUint32(b, m.Incarnation)
	b = binary.BigEndian.AppendUint64(b, s.life)
	b = binary.BigEndian.AppendUint64(b, s.echo)
	b = binary.BigEndian.AppendUint32(b, s.sequence)
	b = binary.BigEndian.AppendUint32(b, m.Number)
	b = binary.BigEndian.AppendUint16(b, uint16(m.Target))
	if m.Kind == Hello {
		b = binary.BigEndian.AppendUint64(b, m.challenge)
		return binary.BigEndian.AppendUint64(b, m.proof)
	}
	if m.Kind == Payload {
		return append(b, m.Payload...)
	}
	for _, r := range m.Updates {
		b = append(b, recordRumour, byte(r.State))
		b = binary.BigEndian.AppendUint16(b, uint16(r.Member))
		b = binary.BigEndian.AppendUint32(b, r.Incarnation)
		b = binary.BigEndian.AppendUint16(b, uint16(r.Reporter))
	}
	for _, f := range m.Observations {
		b = append(b, recordFact, byte(f.Kind))
		b = binary.BigEndian.AppendUint64(b, f.ID)
		b = binary.BigEndian.AppendUint32(b, f.Value)
		b = binary.BigEndian.AppendUint16(b, uint16(min(max(f.Age, 0), mostAge)/(100*time.Millisecond)))
	}
	return b
}

// parse reads a datagram whose code is cut off. Records of a kind that this version does not know end the reading: what is before
// them counts, so that a later version may add kinds behind.
func parse(b []byte) (m Message, s stamp, err error) {
	if len(b) < headSize {
		return m, s, fmt.Errorf("%w: %d bytes", errMalformed, len(b))
	}
	later := b[0]&0xf > revision
	if b[0]>>4 != form || b[0]&0xf == 0 {
		return m, s, fmt.Errorf("%w: form %d, revision %d", ErrUnsupportedFormat, b[0]>>4, b[0]&0xf)
	}
	m.Kind, s.key = Kind(b[1]), b[2]
	if m.Kind < Hello || m.Kind > Payload && !later {
		return m, s, fmt.Errorf("%w: kind %d", errMalformed, b[1])
	}
	m.From, m.To = int(binary.BigEndian.Uint16(b[3:])), int(binary.BigEndian.Uint16(b[5:]))
	m.Incarnation = binary.BigEndian.Uint32(b[7:])
	s.life, s.echo = binary.BigEndian.Uint64(b[11:]), binary.BigEndian.Uint64(b[19:])
	s.sequence, m.Number = binary.BigEndian.Uint32(b[27:]), binary.BigEndian.Uint32(b[31:])
	m.Target = int(binary.BigEndian.Uint16(b[35:]))
	if b = b[headSize:]; m.Kind == Hello {
		if len(b) != helloSize {
			return m, s, fmt.Errorf("%w: a hello of %d bytes", errMalformed, len(b))
		}
		m.challenge, m.proof = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
		return m, s, nil
	}
	switch {
	case m.Kind == Payload:
		m.Payload = b
		return m, s, nil
	case m.Kind > Payload: // what it has is not known
		return m, s, nil
	}
	for len(b) > 0 {
		switch {
		case b[0] == recordRumour && len(b) >= rumourSize:
			r := MemberUpdate{State: State(b[1]), Member: int(binary.BigEndian.Uint16(b[2:])), Incarnation: binary.BigEndian.Uint32(b[4:]),
				Reporter: int(binary.BigEndian.Uint16(b[8:]))}
			if r.State < Alive || r.State > Left {
				return m, s, fmt.Errorf("%w: state %d", errMalformed, b[1])
			}
			m.Updates, b = append(m.Updates, r), b[rumourSize:]
		case b[0] == recordFact && len(b) >= factSize:
			m.Observations = append(m.Observations, Observation{Kind: ObservationKind(b[1]), ID: binary.BigEndian.Uint64(b[2:]), Value: binary.BigEndian.Uint32(b[10:]),
				Age: time.Duration(binary.BigEndian.Uint16(b[14:])) * 100 * time.Millisecond})
			b = b[factSize:]
		case b[0] == recordRumour || b[0] == recordFact:
			return m, s, fmt.Errorf("%w: a record is cut", errMalformed)
		default:
			return m, s, nil
		}
	}
	return m, s, nil
}
