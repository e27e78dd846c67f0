package generation

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is a request as routes, limits and deadlines see it.
type Request struct {
	ID                          string
	Class, Tenant               int // numbers in Names
	Path                        string
	Header                      map[string][]string // by canonical name
	AffinityKey, IdempotencyKey string              // empty: none
	Deadline                    time.Duration       // on the engine's clock
}

// Outcome is how a request ended.
type Outcome int

// The outcomes of requests.
const (
	Served Outcome = iota
	Rejected
	Failed
	ClientCanceled // the client left; that says nothing of the service
)

// Binding ties a request to a generation, from its arrival to its answer. Bind fills it in and Release ends it.
type Binding struct {
	generation *activeGeneration // nil once released
	limits     [maxScopes]*compiledLimit
	class      int
	pair       int // its class and tenant in the traffic window
	startedAt  time.Duration
	isChanged  bool // the watched change treats it otherwise than the generation before
	serverIDs  []string

	Deadline    time.Duration // on the engine's clock: when the request is ended
	MaxAttempts int           // attempts in all; 0: as the platform says
}

// ServerIDs returns the sorted ids of the servers that the request may go to; nil: any. The slice is only read.
func (b *Binding) ServerIDs() []string { return b.serverIDs }

// Generation returns the number of the request's generation; 0 after Release.
func (b *Binding) Generation() uint64 {
	if b.generation == nil {
		return 0
	}
	return b.generation.number
}

// Rejection says which limit rejected a request, and when its client may retry.
type Rejection struct {
	Limit       string
	RetryAfter  time.Duration
	MaxInFlight int // the limit's bound on requests in flight; 0 where its rate rejected the request
}

// Bind ties a request that arrives to the generation in force, before anything of it is sent, and fills b in. Where a limit is
// exceeded it returns false and the Rejection, and b is not to be used. Every successful Bind needs one Release.
func (m *Manager) Bind(now time.Duration, r *Request, b *Binding) (rejection Rejection, ok bool) {
	pair := m.traffic.pair(r.Class, r.Tenant)
	isChanged := m.watch != nil && m.previous != nil && m.active.requestFingerprint(r) != m.previous.requestFingerprint(r)
	m.traffic.recordArrival(now, pair)
	rejection, ok = m.active.bind(now, r, b)
	if !ok {
		m.rejectedRequests++
		m.traffic.recordEnd(now, pair, true, true)
		if m.watch != nil {
			m.watch.recordOutcome(pair, r.Class, isChanged, true)
		}
		rejection.RetryAfter = m.spreadRetryAfter(r.ID, rejection.RetryAfter)
		return rejection, false
	}
	b.class, b.pair, b.isChanged = r.Class, pair, isChanged
	return rejection, true
}

// spreadRetryAfter lengthens a Retry-After by up to half, by the request's id, and bounds it by what clients observe. Clients that
// were rejected together would otherwise return together and be rejected again.
func (m *Manager) spreadRetryAfter(id string, after time.Duration) time.Duration {
	part := float64(xxhash.Sum64String(id)>>11) / (1 << 53)
	spread := time.Duration(float64(after)*(1+part/2)) + time.Millisecond - 1 // up to the next millisecond
	return min(spread.Truncate(time.Millisecond), m.options.MaxRetryAfter)
}

// Release ends what Bind has tied. A second call for the same Binding changes nothing.
func (m *Manager) Release(now time.Duration, b *Binding, outcome Outcome) {
	g := b.generation
	if g == nil {
		return
	}
	for _, l := range b.limits {
		if l != nil {
			l.gauge.inFlight--
		}
	}
	class := m.traffic.class(b.pair)
	isBad := outcome != Served || now-b.startedAt > m.options.Names.Classes[b.class].LatencyObjective
	m.traffic.recordEnd(now, b.pair, outcome != ClientCanceled, isBad)
	if m.watch != nil && g == m.active && outcome != ClientCanceled { // a request bound before the switch says nothing of either
		m.watch.recordOutcome(b.pair, class, b.isChanged, isBad)
	}
	b.generation = nil
	if g.openRequests--; g.openRequests == 0 && g != m.active {
		m.retiring = slices.DeleteFunc(m.retiring, func(x *activeGeneration) bool { return x == g })
	}
}

// bind ties a request to the generation: it checks the limits, counts the request under them, and applies route and deadlines.
func (g *activeGeneration) bind(now time.Duration, r *Request, b *Binding) (rejection Rejection, ok bool) {
	var limits [maxScopes]*compiledLimit
	count := 0
	if len(g.limits) > 0 {
		for _, s := range scopesOf(r.Class, r.Tenant) {
			l := g.limits[s]
			if l == nil {
				continue
			}
			if wait, ok := l.check(now); !ok {
				return l.reject(wait), false
			}
			limits[count] = l
			count++
		}
	}
	*b = Binding{generation: g, limits: limits, startedAt: now, Deadline: r.Deadline}
	for _, l := range limits[:count] {
		l.admit(now)
		if l.MaxAttempts > 0 && (b.MaxAttempts == 0 || l.MaxAttempts < b.MaxAttempts) {
			b.MaxAttempts = l.MaxAttempts
		}
	}
	if route := g.routes.find(r); route != nil {
		b.serverIDs = route.selectPool(r).ids
	}
	if len(g.deadlines) > 0 {
		for _, s := range scopesOf(r.Class, r.Tenant) {
			if atMost, found := g.deadlines[s]; found {
				b.Deadline = min(b.Deadline, now+atMost)
			}
		}
	}
	g.openRequests++
	return Rejection{}, true
}

// FNV-1a's offset basis and prime for 64 bits.
const (
	fnvOffset64 = 14695981039346656037
	fnvPrime64  = 1099511628211
)

// requestFingerprint identifies what the configuration does with a request: two configurations that give the same fingerprint
// treat it the same, so that a change from one to the other does not concern it.
func (c *CompiledConfig) requestFingerprint(r *Request) uint64 {
	var parts [2 + 2*maxScopes]uint64
	parts[0] = c.drainsFingerprint
	if route := c.routes.find(r); route != nil {
		parts[1] = route.selectPool(r).fingerprint
	}
	for i, s := range scopesOf(r.Class, r.Tenant) {
		if l := c.limits[s]; l != nil {
			parts[2+i] = l.fingerprint
		}
		parts[2+maxScopes+i] = uint64(c.deadlines[s])
	}
	sum := uint64(fnvOffset64)
	for _, p := range parts { // FNV-1a over whole words
		sum = (sum ^ p) * fnvPrime64
	}
	return sum
}
