package gossip

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Errors by which a caller of Open tells why a datagram is dropped. They are wrapped, and compared by errors.Is.
var (
	ErrForged      = errors.New("a datagram whose code of authentication is wrong")
	ErrStale       = errors.New("a datagram that is not of now")
	ErrRateLimited = errors.New("more datagrams than one agent has to send")
)

// How much is accepted from one peer, and how a session is proved.
const (
	maxDatagramsPerSecond = 30
	datagramBurst         = 60
	maxHellosPerSecond    = 3 // sent to one peer
	helloBurst            = 4
	challengeTTL          = 3 * time.Second // for which a challenge may be answered
	replayWindow          = 64              // datagrams that may overtake one another
	retiredKeyTime        = time.Second     // for which a key that was taken away still opens what was on its way
)

// Link authenticates the datagrams to and from the other agents and rejects replayed ones. It is not safe for concurrent use and does no
// I/O: the caller sends what it returns.
//
// Each start of an agent is a session with a random number that nobody can guess. A datagram is accepted only if
//
//   - it names the receiver's session, so that it was sent after the receiver started;
//   - it names the sender's session, of which the sender has proved by repeating a random challenge that it is the present one;
//   - its sequence number wasn't accepted before in that session.
//
// So nothing that was recorded before either agent started is accepted, whatever the clocks say and whatever disks have kept: a replayed
// death of a member, or a replayed drain report, would otherwise take effect again.
type Link struct {
	self         int
	session      uint64
	keys         Keys
	keyID        byte          // of keys.Seal
	retired      []Key         // that were accepted before keys
	retiredUntil time.Duration // until when they still are
	random       func() uint64 // gives numbers that nobody can guess
	peers        []linkPeer    // by number
}

// linkPeer is what a Link knows of one other agent.
type linkPeer struct {
	claimedSession  uint64 // the session that the peer named last; datagrams to it name it
	provenSession   uint64 // the session that the peer has proved; 0: none
	challenge       uint64 // that the peer has to repeat; 0: none
	challengedAt    time.Duration
	sentSequence    uint32 // of the last datagram to the peer
	highestSequence uint32 // that was accepted in provenSession
	acceptedBits    uint64 // which of the replayWindow sequence numbers up to highestSequence were accepted; the lowest bit is the highest number
	receiveLimit    leakyBucket
	helloLimit      leakyBucket
}

// NewLink returns the Link of agent self, one of so many, in a new session. random must give numbers that nobody can guess.
func NewLink(self, agents int, keys Keys, random func() uint64) *Link {
	l := &Link{self: self, random: random, peers: make([]linkPeer, agents)}
	l.session = l.nonzeroRandom()
	l.keys, l.keyID = keys, keys.Seal.id()
	return l
}

// SetKeys replaces the keys. Sessions stay as they are. What was on its way by a key that is no longer among them is accepted for
// retiredKeyTime.
func (l *Link) SetKeys(now time.Duration, keys Keys) {
	l.retired, l.retiredUntil = l.keys.Open, now+retiredKeyTime
	l.keys, l.keyID = keys, keys.Seal.id()
}

// nonzeroRandom returns a random number other than 0, which stands for none.
func (l *Link) nonzeroRandom() uint64 {
	for {
		if x := l.random(); x != 0 {
			return x
		}
	}
}

// Seal returns the datagram of a message to m.To; From is set to this agent.
func (l *Link) Seal(m Message) []byte {
	peer := &l.peers[m.To]
	peer.sentSequence++
	m.From = l.self
	b := m.appendTo(make([]byte, 0, MaxDatagramBytes), linkHeader{l.keyID, l.session, peer.claimedSession, peer.sentSequence})
	return append(b, l.keys.Seal.mac(b)...)
}

// Open checks a datagram that came from the address of agent from and returns its message. A reply that isn't nil is to be sent back, also
// when there is an error. A Hello is handled by the Link: it is returned with IsNewSession alone. An error wraps ErrForged, ErrStale,
// ErrRateLimited or ErrUnsupportedFormat, or says that the datagram is malformed; the message counts for nothing then.
func (l *Link) Open(now time.Duration, from int, b []byte) (m Message, reply []byte, err error) {
	if len(b) < headerBytes+macBytes || len(b) > MaxDatagramBytes || from < 0 || from >= len(l.peers) {
		return m, nil, fmt.Errorf("%w: %d bytes", errMalformed, len(b))
	}
	peer := &l.peers[from]
	if !peer.receiveLimit.allow(now, maxDatagramsPerSecond, datagramBurst) { // before the cost of a code
		return m, nil, ErrRateLimited
	}
	text, mac := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !l.isAuthentic(now, text, mac) {
		return m, nil, ErrForged
	}
	m, h, err := parseMessage(text)
	switch {
	case err != nil:
		return m, nil, err
	case m.From != from || m.To != l.self:
		return m, nil, fmt.Errorf("%w: of %d to %d", ErrForged, m.From, m.To)
	case m.Kind == Hello:
		previous := peer.provenSession
		reply = l.handleHello(now, from, m, h)
		return Message{Kind: Hello, From: from, To: l.self, IsNewSession: peer.provenSession != previous}, reply, nil
	case h.receiverSession != l.session || h.senderSession != peer.provenSession:
		peer.claimedSession = h.senderSession
		return m, l.sendChallenge(now, from), ErrStale
	case !peer.acceptSequence(h.sequence):
		return m, nil, fmt.Errorf("%w: it came before", ErrStale)
	}
	return m, nil, nil
}

// isAuthentic reports whether one of the keys that are accepted gives the code.
func (l *Link) isAuthentic(now time.Duration, text, mac []byte) bool {
	givesCode := func(k Key) bool { return k.id() == text[2] && subtle.ConstantTimeCompare(k.mac(text), mac) == 1 }
	return slices.ContainsFunc(l.keys.Open, givesCode) || now < l.retiredUntil && slices.ContainsFunc(l.retired, givesCode)
}

// sendChallenge returns a Hello that asks a peer to prove its session; nil if the peer gets too many. Whoever replays an old datagram
// gets no more than that for it.
func (l *Link) sendChallenge(now time.Duration, to int) []byte {
	peer := &l.peers[to]
	if !peer.helloLimit.allow(now, maxHellosPerSecond, helloBurst) {
		return nil
	}
	return l.Seal(Message{Kind: Hello, To: to, challenge: l.currentChallenge(now, peer)})
}

// currentChallenge returns the challenge that the peer has to repeat, a new one if the last is too old.
func (l *Link) currentChallenge(now time.Duration, peer *linkPeer) uint64 {
	if peer.challenge == 0 || now-peer.challengedAt >= challengeTTL {
		peer.challenge, peer.challengedAt = l.nonzeroRandom(), now
	}
	return peer.challenge
}

// handleHello takes the proof in a Hello and returns the answer to its challenge, if there is one.
func (l *Link) handleHello(now time.Duration, from int, m Message, h linkHeader) (reply []byte) {
	peer := &l.peers[from]
	if peer.challenge != 0 && m.proof == peer.challenge && now-peer.challengedAt < challengeTTL {
		if peer.challenge = 0; h.senderSession != peer.provenSession {
			peer.provenSession, peer.highestSequence, peer.acceptedBits = h.senderSession, 0, 0
		}
	}
	if peer.provenSession == 0 || h.receiverSession == l.session {
		peer.claimedSession = h.senderSession
	}
	if m.challenge == 0 || !peer.helloLimit.allow(now, maxHellosPerSecond, helloBurst) {
		return nil
	}
	answer := Message{Kind: Hello, To: from, proof: m.challenge}
	if h.senderSession != peer.provenSession {
		answer.challenge = l.currentChallenge(now, peer)
	}
	peer.claimedSession = h.senderSession
	return l.Seal(answer)
}

// acceptSequence notes a sequence number and reports whether it is new. A number below the window counts as old: whether it was accepted
// isn't known any more, and a replayed datagram must not be.
func (p *linkPeer) acceptSequence(sequence uint32) bool {
	switch ahead := int64(sequence) - int64(p.highestSequence); {
	case ahead > 0:
		if ahead >= replayWindow {
			p.acceptedBits = 0
		} else {
			p.acceptedBits <<= ahead
		}
		p.acceptedBits |= 1
		p.highestSequence = sequence
	case -ahead >= replayWindow || p.acceptedBits&(1<<-ahead) != 0:
		return false
	default:
		p.acceptedBits |= 1 << -ahead
	}
	return true
}
