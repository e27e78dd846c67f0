package gossip

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/crypto/blake2s"
)

// Key authenticates agents of one installation to each other.
type Key [32]byte

// Keys are the one that datagrams are sealed with, and those that are taken from others: while keys change two hold at a time.
type Keys struct {
	Seal Key
	Open []Key // Seal among them
}

// name is the byte by which a key is told from another; it says nothing of the key itself.
func (k Key) name() byte {
	sum := blake2s.Sum256(append([]byte("appleledge key name "), k[:]...))
	return sum[0]
}

// code is the code of authentication: BLAKE2s with a key (RFC 7693), of 128 bits.
func (k Key) code(text []byte) []byte {
	h, err := blake2s.New128(k[:])
	if err != nil { // of keys of another length alone
		panic(err)
	}
	h.Write(text)
	return h.Sum(nil)
}

// Reseal is a datagram whose text was changed by somebody who has the key: an agent of another version, or one that went bad.
func (k Key) Reseal(datagram []byte, change func(text []byte) []byte) []byte {
	if len(datagram) < headSize+macSize {
		return datagram
	}
	text := change(append([]byte(nil), datagram[:len(datagram)-macSize]...))
	return append(text, k.code(text)...)
}

// Errors that are told apart.
var (
	ErrForged      = errors.New("a datagram whose code of authentication is wrong")
	ErrStale       = errors.New("a datagram that is not of now")
	ErrRateLimited = errors.New("more datagrams than one agent has to send")
)

const (
	challengeFor = 3 * time.Second // for which a challenge may be answered
	hellosASec   = 3               // to one agent
	hellosAtOnce = 4
	window       = 64 // datagrams that may overtake one another
	mostASecond  = 30 // datagrams from one agent
	mostAtOnce   = 60
)

// Link seals datagrams to the others and opens theirs. Each life of an agent has a number that nobody can guess. A datagram counts if
// it names the receiver's life, so that it was sent since that began, and the sender's life, of which the sender has proved by
// repeating a random number that it is the present one; and each counts once. So nothing counts that was sent before either has started
// anew, whatever the clocks are and whatever disks have kept. It is not safe for concurrent use.
type Link struct {
	self   int
	life   uint64
	keys   Keys
	seal   byte // its name
	random func() uint64
	ends   []end
}

// end is the other end of a link.
type end struct {
	echo      uint64 // the other's life as it said last, to be named to it
	proved    uint64 // the life that it has proved; 0: none
	challenge uint64 // that it is to repeat
	since     time.Duration
	sequence  uint32 // of the last datagram sent
	last      uint32 // the highest that came
	seen      uint64 // which of the window below it came, a bit each
	tokens    bucket // datagrams that the other may still send
	hellos    bucket // that may be sent to it
}

// bucket is a bound on what may come, in a second and at once.
type bucket struct {
	used   float64
	filled time.Duration
}

func (b *bucket) take(now time.Duration, aSecond, atOnce float64) bool {
	b.used = max(0, b.used-(now-b.filled).Seconds()*aSecond)
	if b.filled = now; b.used > atOnce-1 {
		return false
	}
	b.used++
	return true
}

// NewLink returns the links of agent self among so many. random gives numbers that nobody can guess.
func NewLink(self, agents int, keys Keys, random func() uint64) *Link {
	l := &Link{self: self, random: random, ends: make([]end, agents)}
	l.life = l.draw()
	l.SetKeys(keys)
	return l
}

// SetKeys changes the keys.
func (l *Link) SetKeys(keys Keys) { l.keys, l.seal = keys, keys.Seal.name() }

func (l *Link) draw() uint64 {
	for {
		if x := l.random(); x != 0 {
			return x
		}
	}
}

// Seal writes a message to another agent.
func (l *Link) Seal(m Message) []byte {
	e := &l.ends[m.To]
	e.sequence++
	m.From = l.self
	b := m.append(make([]byte, 0, MaxDatagramBytes), stamp{l.seal, l.life, e.echo, e.sequence})
	return append(b, l.keys.Seal.code(b)...)
}

// Open reads a datagram that came from another agent's address. A Hello is the Link's own affair: it is returned as one, with
// nothing in it. reply is to be sent back where it is not nil.
func (l *Link) Open(now time.Duration, from int, b []byte) (m Message, reply []byte, err error) {
	if len(b) < headSize+macSize || len(b) > MaxDatagramBytes || from < 0 || from >= len(l.ends) {
		return m, nil, fmt.Errorf("%w: %d bytes", errMalformed, len(b))
	}
	e := &l.ends[from]
	if !e.tokens.take(now, mostASecond, mostAtOnce) { // before anything is reckoned
		return m, nil, ErrRateLimited
	}
	text, code := b[:len(b)-macSize], b[len(b)-macSize:]
	if !slices.ContainsFunc(l.keys.Open, func(k Key) bool {
		return k.name() == text[2] && subtle.ConstantTimeCompare(k.code(text), code) == 1
	}) {
		return m, nil, ErrForged
	}
	m, s, err := parse(text)
	switch {
	case err != nil:
		return m, nil, err
	case m.From != from || m.To != l.self:
		return m, nil, fmt.Errorf("%w: of %d to %d", ErrForged, m.From, m.To)
	case m.Kind == Hello:
		was := e.proved
		reply = l.hello(now, from, m, s)
		return Message{Kind: Hello, From: from, To: l.self, IsNewSession: e.proved != was}, reply, nil
	case s.echo != l.life || s.life != e.proved:
		e.echo = s.life
		return m, l.ask(now, from), ErrStale
	case !e.fresh(s.sequence):
		return m, nil, fmt.Errorf("%w: it came before", ErrStale)
	}
	return m, nil, nil
}

// ask wants an agent to prove its life. A datagram from long ago that is sent again gets nobody more than that.
func (l *Link) ask(now time.Duration, to int) []byte {
	e := &l.ends[to]
	if !e.hellos.take(now, hellosASec, hellosAtOnce) {
		return nil
	}
	return l.Seal(Message{Kind: Hello, To: to, challenge: l.challenge(now, e)})
}

func (l *Link) challenge(now time.Duration, e *end) uint64 {
	if e.challenge == 0 || now-e.since >= challengeFor {
		e.challenge, e.since = l.draw(), now
	}
	return e.challenge
}

// hello takes what a Hello proves, and answers what it wants proved.
func (l *Link) hello(now time.Duration, from int, m Message, s stamp) (reply []byte) {
	e := &l.ends[from]
	if e.challenge != 0 && m.proof == e.challenge && now-e.since < challengeFor {
		if e.challenge = 0; s.life != e.proved {
			e.proved, e.last, e.seen = s.life, 0, 0
		}
	}
	if e.proved == 0 || s.echo == l.life {
		e.echo = s.life
	}
	if m.challenge == 0 || !e.hellos.take(now, hellosASec, hellosAtOnce) {
		return nil
	}
	answer := Message{Kind: Hello, To: from, proof: m.challenge}
	if s.life != e.proved {
		answer.challenge = l.challenge(now, e)
	}
	e.echo = s.life
	return l.Seal(answer)
}

// fresh takes note of a sequence number, and reports whether it is new.
func (e *end) fresh(n uint32) bool {
	switch ahead := int64(n) - int64(e.last); {
	case ahead > 0:
		if ahead >= window {
			e.seen = 0
		} else {
			e.seen <<= ahead
		}
		e.seen |= 1
		e.last = n
	case -ahead >= window || e.seen&(1<<-ahead) != 0:
		return false
	default:
		e.seen |= 1 << -ahead
	}
	return true
}
