package generation

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"appleledge/internal/fleetconfig"
)

// any stands for every class or tenant.
const anyone = -1

// route is a route that is ready for use.
type route struct {
	rank    int // the smallest of those that fit counts
	prefix  string
	headers []header // sorted by name
	targets []target
	total   float64
}

type header struct{ name, value string }

// target is a pool and up to where on the way from 0 to the sum of weights it reaches.
type target struct {
	pool  *pool
	until float64
}

// who is a class and a tenant; either may be anyone.
type who struct{ class, tenant int }

// routeIndex finds the route of a request in a time that hangs on how many lengths of prefixes and names of headers there
// are, not on how many routes.
type routeIndex map[who]*prefixes

// prefixes are the routes of one class and tenant, by path prefix.
type prefixes struct {
	lengths  []int // that there are
	byPrefix map[string]*byHeader
}

// byHeader are the routes of one prefix: those without headers and, by the first of them, those with.
type byHeader struct {
	plain []*route // in order of rank, as all lists of them
	names []string
	first map[header][]*route
}

// orderOf brings routes into the order in which they are asked, the first that fits counts.
func orderOf(routes []fleetconfig.Route) []fleetconfig.Route {
	ordered := slices.Clone(routes)
	conditions := func(r *fleetconfig.Route) (n int) {
		for _, is := range []bool{r.Class != "", r.Tenant != "", r.PathPrefix != ""} {
			if is {
				n++
			}
		}
		return n + len(r.Headers)
	}
	slices.SortStableFunc(ordered, func(a, b fleetconfig.Route) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(conditions(&b), conditions(&a)),
			cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}

func (x routeIndex) add(w who, r *route) {
	p := x[w]
	if p == nil {
		p = &prefixes{byPrefix: map[string]*byHeader{}}
		x[w] = p
	}
	h := p.byPrefix[r.prefix]
	if h == nil {
		h = &byHeader{first: map[header][]*route{}}
		p.byPrefix[r.prefix] = h
		if !slices.Contains(p.lengths, len(r.prefix)) {
			p.lengths = append(p.lengths, len(r.prefix))
		}
	}
	if len(r.headers) == 0 {
		h.plain = append(h.plain, r)
		return
	}
	first := r.headers[0]
	if !slices.Contains(h.names, first.name) {
		h.names = append(h.names, first.name)
	}
	h.first[first] = append(h.first[first], r)
}

// find returns the route of a request, or nil.
func (x routeIndex) find(a *Request) (best *route) {
	if len(x) == 0 {
		return nil
	}
	for _, w := range around(a.Class, a.Tenant) {
		p := x[w]
		if p == nil {
			continue
		}
		for _, n := range p.lengths {
			if n > len(a.Path) {
				continue
			}
			if h := p.byPrefix[a.Path[:n]]; h != nil {
				best = h.find(a, best)
			}
		}
	}
	return best
}

// around are the pairs that objects for a class and tenant may stand under.
func around(class, tenant int) [4]who {
	return [4]who{{class, tenant}, {class, anyone}, {anyone, tenant}, {anyone, anyone}}
}

func (h *byHeader) find(a *Request, best *route) *route {
	best = better(best, h.plain, a)
	for _, name := range h.names {
		if values := a.Header[name]; len(values) == 1 {
			best = better(best, h.first[header{name, values[0]}], a)
		}
	}
	return best
}

// better returns the first of the routes that fits, where it goes before the best one so far.
func better(best *route, routes []*route, a *Request) *route {
	for _, r := range routes {
		if best != nil && best.rank < r.rank {
			return best
		}
		if r.fits(a) {
			return r
		}
	}
	return best
}

// fits reports whether a request has the route's headers. One that is there twice fits none.
func (r *route) fits(a *Request) bool {
	for _, h := range r.headers {
		if values := a.Header[h.name]; len(values) != 1 || values[0] != h.value {
			return false
		}
	}
	return true
}

// target picks the pool for a request: the same one for all requests of one key.
func (r *route) target(a *Request) *pool {
	if len(r.targets) == 1 {
		return r.targets[0].pool
	}
	key := cmp.Or(a.AffinityKey, a.IdempotencyKey, a.ID)
	at := float64(xxhash.Sum64String(key)>>11) / (1 << 53) * r.total
	for _, t := range r.targets {
		if at < t.until {
			return t.pool
		}
	}
	return r.targets[len(r.targets)-1].pool
}

// headersOf are a route's conditions on headers, by name.
func headersOf(r *fleetconfig.Route) []header {
	out := make([]header, 0, len(r.Headers))
	for name, value := range r.Headers {
		out = append(out, header{name, value})
	}
	slices.SortFunc(out, func(a, b header) int { return strings.Compare(a.name, b.name) })
	return out
}
