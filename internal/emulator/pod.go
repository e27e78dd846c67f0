package emulator

import (
	"sync"
	"time"
)

// Execution is one execution of a request with an idempotency key.
type Execution struct {
	Key    string
	Pod    int
	Server string
	At     time.Duration // when its last byte had come
	// ReadDelay is how much later the server's process took it.
	ReadDelay time.Duration
	// TimeLeft is how long the sender still waited when it wrote the request, as it said. Of two executions of one request the
	// difference is the time between the two writes.
	TimeLeft time.Duration
}

// Ledger records every execution of a request with an idempotency key in the whole fleet, in order, so that duplicates
// show. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	executions []Execution
	countByKey map[string]int // executions
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{countByKey: map[string]int{}} }

// record adds an execution.
func (l *Ledger) record(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, e)
	l.countByKey[e.Key]++
}

// Effects returns a copy of all executions.
func (l *Ledger) Effects() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Repeated returns the keys that were executed more than once, with their executions.
func (l *Ledger) Repeated() map[string][]Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]Execution{}
	for _, e := range l.executions {
		if l.countByKey[e.Key] > 1 {
			out[e.Key] = append(out[e.Key], e)
		}
	}
	return out
}

// Pod is a set of form servers that share their memory of idempotency keys: a key that began at any of them within the
// window isn't executed again. A request begins when its last byte has come, however late a busy process reads it: times are
// those at which the kernel received it. Repeats don't prolong the window. It is safe for concurrent use.
type Pod struct {
	number int
	window time.Duration
	ledger *Ledger

	mu          sync.Mutex
	startedAt   map[string]time.Duration // when a key began, of those that may still be repeated
	expiryOrder []keyTime                // the same as they were read, so that what is over can be dropped
}

// keyTime is a key and when it was seen.
type keyTime struct {
	key string
	at  time.Duration
}

// maxReadDelay is how late a process may read a request whose repeat is still told by the time at which it was received.
const maxReadDelay = 30 * time.Second

// NewPod returns a pod that drops repeats within the window and records executions in the ledger.
func NewPod(number int, window time.Duration, ledger *Ledger) *Pod {
	return &Pod{number: number, window: window, ledger: ledger, startedAt: map[string]time.Duration{}}
}

// claim reports whether the request's key is to be executed at the server now, and records the execution if so.
func (p *Pod) claim(now time.Duration, r Request, server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.expiryOrder) > 0 && now-p.expiryOrder[0].at >= p.window+maxReadDelay {
		if first := p.expiryOrder[0]; p.startedAt[first.key] == first.at {
			delete(p.startedAt, first.key)
		}
		p.expiryOrder = p.expiryOrder[1:]
	}
	key, received := r.IdempotencyKey, now-r.ReadDelay
	if began, known := p.startedAt[key]; known && (received-began).Abs() < p.window {
		return false
	}
	p.startedAt[key] = received
	p.expiryOrder = append(p.expiryOrder, keyTime{key, received})
	p.ledger.record(Execution{Key: key, Pod: p.number, Server: server, At: received, ReadDelay: r.ReadDelay, TimeLeft: r.TimeLeft})
	return true
}

// Forget clears the pod's memory, as a power loss in the whole pod does.
func (p *Pod) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.startedAt)
	p.expiryOrder = nil
}

// keyCache is the route keys that a server has seen lately.
type keyCache struct {
	size     int
	ttl      time.Duration
	lastSeen map[string]time.Duration
	order    []keyTime
}

// newKeyCache returns a cache of size keys, each kept for the ttl.
func newKeyCache(size int, ttl time.Duration) *keyCache {
	return &keyCache{size: size, ttl: ttl, lastSeen: map[string]time.Duration{}}
}

// touch reports whether the key is cached, and caches it from now on.
func (m *keyCache) touch(now time.Duration, key string) bool {
	if key == "" || m.size <= 0 {
		return false
	}
	for len(m.order) > 0 {
		first := m.order[0]
		at := m.lastSeen[first.key]
		if at == first.at && now-first.at < m.ttl && len(m.lastSeen) <= m.size {
			break
		}
		if at == first.at { // else it was met again since, and stands further back as well
			delete(m.lastSeen, first.key)
		}
		m.order = m.order[1:]
	}
	_, known := m.lastSeen[key]
	m.lastSeen[key] = now
	m.order = append(m.order, keyTime{key, now})
	return known
}
