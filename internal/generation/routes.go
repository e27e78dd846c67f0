package generation

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"appleledge/internal/fleetconfig"
)

// compiledRoute is a route in the form in which requests are matched against it.
type compiledRoute struct {
	rank        int // its place in matchOrder; of the routes that match, the one with the least rank is taken
	prefix      string
	headers     []headerCondition // sorted by name
	targets     []weightedTarget
	totalWeight float64
}

// headerCondition requires a header, by its canonical name, to occur once and to have exactly this value.
type headerCondition struct{ name, value string }

// weightedTarget is a pool and the sum of the weights up to and including its own.
type weightedTarget struct {
	pool             *serverPool
	cumulativeWeight float64
}

// routeIndex finds the route of a request in a time that depends on the number of distinct prefix lengths and header names, and
// not on the number of routes.
type routeIndex map[scope]*routesByPrefix

// routesByPrefix are the routes of one scope, by path prefix.
type routesByPrefix struct {
	prefixLengths []int // the distinct lengths of the prefixes
	byPrefix      map[string]*routesByHeader
}

// routesByHeader are the routes of one scope and prefix: those without headers and, by their first header, those with. Each list
// is in order of rank.
type routesByHeader struct {
	withoutHeaders   []*compiledRoute
	firstHeaderNames []string
	byFirstHeader    map[headerCondition][]*compiledRoute
}

// matchOrder returns the routes in the order in which they are matched: by priority, then those with more conditions, then
// those with the longer prefix, then by name.
func matchOrder(routes []fleetconfig.Route) []fleetconfig.Route {
	ordered := slices.Clone(routes)
	conditions := func(r *fleetconfig.Route) (n int) {
		for _, isSet := range []bool{r.Class != "", r.Tenant != "", r.PathPrefix != ""} {
			if isSet {
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

// add puts a route into the index. Routes are added in order of rank.
func (x routeIndex) add(s scope, r *compiledRoute) {
	p := x[s]
	if p == nil {
		p = &routesByPrefix{byPrefix: map[string]*routesByHeader{}}
		x[s] = p
	}
	h := p.byPrefix[r.prefix]
	if h == nil {
		h = &routesByHeader{byFirstHeader: map[headerCondition][]*compiledRoute{}}
		p.byPrefix[r.prefix] = h
		if !slices.Contains(p.prefixLengths, len(r.prefix)) {
			p.prefixLengths = append(p.prefixLengths, len(r.prefix))
		}
	}
	if len(r.headers) == 0 {
		h.withoutHeaders = append(h.withoutHeaders, r)
		return
	}
	first := r.headers[0]
	if !slices.Contains(h.firstHeaderNames, first.name) {
		h.firstHeaderNames = append(h.firstHeaderNames, first.name)
	}
	h.byFirstHeader[first] = append(h.byFirstHeader[first], r)
}

// find returns the route of a request, or nil.
func (x routeIndex) find(r *Request) (best *compiledRoute) {
	if len(x) == 0 {
		return nil
	}
	for _, s := range scopesOf(r.Class, r.Tenant) {
		p := x[s]
		if p == nil {
			continue
		}
		for _, n := range p.prefixLengths {
			if n > len(r.Path) {
				continue
			}
			if h := p.byPrefix[r.Path[:n]]; h != nil {
				best = h.find(r, best)
			}
		}
	}
	return best
}

// find returns the better one of best, which may be nil, and the routes that match the request's headers.
func (h *routesByHeader) find(r *Request, best *compiledRoute) *compiledRoute {
	best = betterRoute(best, h.withoutHeaders, r)
	for _, name := range h.firstHeaderNames {
		if values := r.Header[name]; len(values) == 1 {
			best = betterRoute(best, h.byFirstHeader[headerCondition{name, values[0]}], r)
		}
	}
	return best
}

// betterRoute returns the first of the routes, which are in order of rank, whose headers match, or best if that has a lesser rank.
func betterRoute(best *compiledRoute, routes []*compiledRoute, r *Request) *compiledRoute {
	for _, route := range routes {
		if best != nil && best.rank < route.rank {
			return best
		}
		if route.matchesHeaders(r) {
			return route
		}
	}
	return best
}

// matchesHeaders reports whether a request meets the route's conditions on headers. A header that occurs twice meets none.
func (route *compiledRoute) matchesHeaders(r *Request) bool {
	for _, h := range route.headers {
		if values := r.Header[h.name]; len(values) != 1 || values[0] != h.value {
			return false
		}
	}
	return true
}

// selectPool picks a pool by weight: the same one for all requests with the same key, so that a retry under an idempotency key
// reaches the servers that remember it.
func (route *compiledRoute) selectPool(r *Request) *serverPool {
	if len(route.targets) == 1 {
		return route.targets[0].pool
	}
	key := cmp.Or(r.AffinityKey, r.IdempotencyKey, r.ID)
	at := float64(xxhash.Sum64String(key)>>11) / (1 << 53) * route.totalWeight
	for _, t := range route.targets {
		if at < t.cumulativeWeight {
			return t.pool
		}
	}
	return route.targets[len(route.targets)-1].pool
}

// headerConditions returns a route's conditions on headers, sorted by name.
func headerConditions(r *fleetconfig.Route) []headerCondition {
	out := make([]headerCondition, 0, len(r.Headers))
	for name, value := range r.Headers {
		out = append(out, headerCondition{name, value})
	}
	slices.SortFunc(out, func(a, b headerCondition) int { return strings.Compare(a.name, b.name) })
	return out
}
