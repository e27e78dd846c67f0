// Package hotrestart makes an old and a new process one agent while one replaces the other: they share the socket that clients
// connect to, the limits, and what operators order.
package hotrestart

// Phase is how far a process has come.
type Phase int

// The phases, in their order.
const (
	Starting Phase = iota // can't serve yet
	Serving
	Draining // told to end
)

var phases = [...]string{Starting: "starting", Serving: "serving", Draining: "leaving"}

func (p Phase) String() string {
	if p < 0 || int(p) >= len(phases) {
		return "unknown"
	}
	return phases[p]
}

// Process decides what one process of an agent does, by its own phase and those of the others that live. It does no I/O.
//
// Invariants: as long as any process lives that has been ready, at least one takes new connections; a phase never goes back;
// the shares of all come to one as soon as all know of each other.
type Process struct {
	phase Phase
	peers map[int]Phase // by link
}

// NewProcess returns a process that starts, beside no other.
func NewProcess() *Process { return &Process{peers: map[int]Phase{}} }

// AnnouncePhase notes a phase of the process itself.
func (p *Process) SetPhase(to Phase) { p.phase = max(p.phase, to) }

// ObservePeer notes another process, or a new phase of it.
func (p *Process) ObservePeer(link int, phase Phase) { p.peers[link] = max(p.peers[link], phase) }

// RemovePeer notes that another one has ended.
func (p *Process) RemovePeer(link int) { delete(p.peers, link) }

// Phase is the process' own.
func (p *Process) Phase() Phase { return p.phase }

// ShouldAccept reports whether the process takes new connections.
func (p *Process) ShouldAccept() bool {
	switch p.phase {
	case Serving:
		return true
	case Starting: // the others serve, until this one is ready; a process alone says itself that it is not
		return len(p.peers) == 0
	}
	return !p.HasSuccessor()
}

// HasSuccessor reports whether another process serves.
func (p *Process) HasSuccessor() bool {
	for _, phase := range p.peers {
		if phase == Serving {
			return true
		}
	}
	return false
}

// SetLimitShare is the part of the agent's limits that the process may use.
func (p *Process) LimitShare() float64 { return 1 / float64(1+len(p.peers)) }
