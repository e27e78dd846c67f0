package hotrestart

// Phase is a stage in a process's life. Its numbers are part of the messages and its texts of the log.
type Phase int

// The phases, in their order.
const (
	Starting Phase = iota // cannot serve yet
	Serving
	Draining // told to end: it finishes what it has
)

var phaseNames = [...]string{Starting: "starting", Serving: "serving", Draining: "leaving"}

// String returns the phase's text in the log.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Process decides what one process of an agent does, by its own phase and those of its live peers. It does no I/O and is not safe
// for concurrent use.
//
// Invariants: as long as any process lives that has been ready, at least one accepts new connections; a phase never goes back;
// the limit shares of all processes add up to one as soon as all know of each other.
type Process struct {
	phase Phase
	peers map[int]Phase // by the Link's number of the peer
}

// NewProcess returns a process in the phase Starting, without peers.
func NewProcess() *Process { return &Process{peers: map[int]Phase{}} }

// SetPhase advances the process's own phase. An earlier phase than the present one is ignored.
func (p *Process) SetPhase(phase Phase) { p.phase = max(p.phase, phase) }

// ObservePeer notes a peer, or a new phase of it. An earlier phase than the known one is ignored: messages may cross.
func (p *Process) ObservePeer(peer int, phase Phase) { p.peers[peer] = max(p.peers[peer], phase) }

// RemovePeer notes that a peer has ended.
func (p *Process) RemovePeer(peer int) { delete(p.peers, peer) }

// Phase returns the process's own phase.
func (p *Process) Phase() Phase { return p.phase }

// ShouldAccept reports whether the process accepts new connections. One that starts leaves them to its peers; without peers it
// accepts, and answers itself that it is not ready. One that drains accepts until another serves, so that there is no gap.
func (p *Process) ShouldAccept() bool {
	switch p.phase {
	case Serving:
		return true
	case Starting:
		return len(p.peers) == 0
	}
	return !p.HasSuccessor()
}

// HasSuccessor reports whether a peer serves.
func (p *Process) HasSuccessor() bool {
	for _, phase := range p.peers {
		if phase == Serving {
			return true
		}
	}
	return false
}

// LimitShare returns the part of the agent's limits that the process may use, above 0 and at most 1.
func (p *Process) LimitShare() float64 { return 1 / float64(1+len(p.peers)) }
