package emulator

import (
	"sync"
	"time"
)

// Effect is one execution of a request that carries a key: what the ledger holds.
type Effect struct {
	Key    string
	Pod    int
	Server string
	At     time.Duration
}

// Ledger is the witness against duplicates: every execution of a keyed request in the whole fleet, in order. It is safe
// for concurrent use, as servers on sockets share it.
type Ledger struct {
	mu      sync.Mutex
	effects []Effect
	byKey   map[string]int // executions
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{byKey: map[string]int{}} }

func (l *Ledger) note(e Effect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects = append(l.effects, e)
	l.byKey[e.Key]++
}

// Effects returns a copy of all that ran.
func (l *Ledger) Effects() []Effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Effect(nil), l.effects...)
}

// Repeated returns the keys that ran more than once, with their executions.
func (l *Ledger) Repeated() map[string][]Effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]Effect{}
	for _, e := range l.effects {
		if l.byKey[e.Key] > 1 {
			out[e.Key] = append(out[e.Key], e)
		}
	}
	return out
}

// Pod is a set of form servers that drop repeats among themselves: a key that began less than the window ago, at any of
// them, does not run again. The window counts from the first, and is not prolonged by repeats. It is safe for concurrent
// use.
type Pod struct {
	number int
	window time.Duration
	ledger *Ledger

	mu    sync.Mutex
	since map[string]time.Duration // when a key began, of those in the window
	order []begun                  // the same by time, so that what is over can be dropped
}

type begun struct {
	key string
	at  time.Duration
}

// NewPod returns a pod that drops repeats for the window and writes what runs into the ledger.
func NewPod(number int, window time.Duration, ledger *Ledger) *Pod {
	return &Pod{number: number, window: window, ledger: ledger, since: map[string]time.Duration{}}
}

// take reports whether the key is to run at the server now, and notes it if so.
func (p *Pod) take(now time.Duration, key, server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.order) > 0 && now-p.order[0].at >= p.window {
		delete(p.since, p.order[0].key)
		p.order = p.order[1:]
	}
	if _, repeat := p.since[key]; repeat {
		return false
	}
	p.since[key] = now
	p.order = append(p.order, begun{key, now})
	p.ledger.note(Effect{Key: key, Pod: p.number, Server: server, At: now})
	return true
}

// Forget is a loss of power in the whole pod: what it was sent is known no more.
func (p *Pod) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.since)
	p.order = nil
}

// keyMemory is the route keys that a server met lately.
type keyMemory struct {
	most   int
	keeps  time.Duration
	latest map[string]time.Duration
	order  []begun
}

func newKeyMemory(most int, keeps time.Duration) *keyMemory {
	return &keyMemory{most: most, keeps: keeps, latest: map[string]time.Duration{}}
}

// met reports whether the key was met within the time, and notes that it is met now.
func (m *keyMemory) met(now time.Duration, key string) bool {
	if key == "" || m.most <= 0 {
		return false
	}
	for len(m.order) > 0 {
		first := m.order[0]
		at := m.latest[first.key]
		if at == first.at && now-first.at < m.keeps && len(m.latest) <= m.most {
			break
		}
		if at == first.at { // else it was met again since, and stands further back as well
			delete(m.latest, first.key)
		}
		m.order = m.order[1:]
	}
	_, known := m.latest[key]
	m.latest[key] = now
	m.order = append(m.order, begun{key, now})
	return known
}
