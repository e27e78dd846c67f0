package gossip

import "time"

// Kind says what a message is for. The numbers stand on the wire.
type Kind uint8

// The kinds of messages.
const (
	Hello   Kind = 1 + iota // of a Link: asks the receiver to repeat a challenge, or proves a session by repeating one
	Ping                    // asks for an Ack
	Ack                     // answers a Ping, also one that another member sent on request
	PingReq                 // asks the receiver to ping Target
	Nack                    // answers a PingReq: Target hasn't answered so far
	Leave                   // the sender ends in order
	Payload                 // carries bytes of another package; since revision 2
)

// State is what an agent holds a member for. Of two updates with the same incarnation the higher state counts. The numbers stand on the
// wire.
type State uint8

// The states.
const (
	Unknown State = iota // nothing was received of it
	Alive
	Suspect // it didn't answer a probe; it may still announce that it is alive
	Dead
	Left // it announced its end
)

// String returns the state's word in status texts and metrics.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[min(s, Left)]
}

// isReachable reports whether a member counts as running.
func isReachable(s State) bool { return s == Alive || s == Suspect }

// MemberUpdate says in which state a member is, as Reporter holds it. Members are named by their numbers.
type MemberUpdate struct {
	State       State
	Member      int
	Incarnation uint32 // of Member
	Reporter    int    // of a suspicion: who suspects the member
}

// ObservationKind says what an observation is about. The kinds belong to the package that decides by them.
type ObservationKind uint8

// Observation is something that one agent has seen and tells all others, such as that a server is draining.
type Observation struct {
	Kind  ObservationKind
	ID    uint64        // of what it is about
	Value uint32        // as the kind defines it
	Age   time.Duration // since it was true, to a tenth of a second
}

// Message is the content of a datagram.
type Message struct {
	Kind         Kind
	From, To     int    // members' numbers
	Incarnation  uint32 // the sender's
	Number       uint32 // of a Ping or PingReq; its Ack or Nack repeats it
	Target       int    // of a PingReq and a Nack: the member in question; of a Ping and an Ack: how many members the sender holds for reachable
	Updates      []MemberUpdate
	Observations []Observation
	Payload      []byte // of a Payload message

	IsNewSession     bool   // of a Hello that Link.Open returned: the sender has proved a session that wasn't known
	challenge, proof uint64 // of a Hello
}
