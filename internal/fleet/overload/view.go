// Package overload is how a fleet of agents handles overload as one: a picture of what is asked and of what servers can do, put together from
// what all agents tell; one order of worth and one limit for the fleet, from which each agent gets its part by what it is asked; and news
// of ill servers. It does no I/O and reads no clock.
//
// The rule of word holds: what others say makes an agent refuse more at once, but only while its own answers, if it has any, show busy
// servers too; that it may let in more is confirmed by its own answers. Without word, or with little, each agent goes by its own
// watch for storms, as it would alone.
package overload

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServerID is a server's id as agents tell it.
func ServerID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

const (
	freshFor    = 4 * time.Second        // for which a digest counts
	nowFor      = 600 * time.Millisecond // and for which it is of now
	useFades    = 400 * time.Millisecond // over which a report of use loses its worth
	mostTrend   = 1.6
	urgentUse   = 0.85
	reportFor   = 3 * time.Second // and a report
	mostServers = 4096
	mostVoices  = 6                      // that are remembered of one server
	mostClaim   = 4                      // times what all servers can do, that one agent may say it is asked,
	mostOthers  = 2                      // and times what all others say together
	leastOthers = 1.0 / 8                // of what all servers can do, that all others are taken to be asked at the least for that
	openMost    = 500 * time.Millisecond // for which all that an agent is asked may be open
	extraMost   = 0.5                    // attempts beyond the first, for each of what it is asked
	mostMissing = 3                      // times what is heard of, that all agents together may be taken to ask
	boldest     = 2                      // times the capacity that own answers have shown of a server, that others' word may say
	tellings    = 4                      // of a piece of news, before it is told in turn with all others
)

// View is the fleet as one agent sees it. It is not safe for concurrent use.
//
// Invariants: of each agent the latest digest counts, while it is fresh and the agent lives; what one agent claims is bounded; of each
// server the latest report counts, whoever had it.
type FleetView struct {
	self, classes, tenants int
	digests                []heard // by agent
	dead                   []bool  // by agent
	alive                  int
	news                   []int // agents whose digests are to be told, the longest waiting first
	servers                map[uint32]*server
	order                  []uint32 // of servers, as they are told in turn
	turn, round            int
	urgent                 bool // a server has become full
	counts                 ViewCounts
}

// ViewCounts are what a Picture has been told.
type ViewCounts struct {
	Digests, Reports, Observations uint64 // that were news
	Capped                         uint64 // claims that were over their bound
	Malformed                      uint64 // bodies
}

// told is something with the time at which it held, and who told it here.
type told[T any] struct {
	what T
	at   time.Duration // 0: never
	by   int
}

// heard is a digest as it is held.
type heard struct {
	told[LoadDigest]
	was   [2]float64    // the first tries and repeats that were held before it came; below 0: none were
	gap   time.Duration // by how much later it holds than these
	times int           // that it was told on
	waits bool          // to be told
}

// server is what is known of one.
type server struct {
	report  told[LoadReport]
	own     float64             // capacity as own answers showed it last; 0: none did
	voices  []told[Observation] // of agents that it does not serve
	illness                     // as this agent sees it
}

// newPicture returns a picture of nothing.
func newPicture(self, agents, classes, tenants int) *FleetView {
	return &FleetView{self: self, classes: min(classes, MaxClasses), tenants: min(tenants, MaxTenants), digests: make([]heard, agents),
		dead: make([]bool, agents), alive: 1, servers: map[uint32]*server{}}
}

// lives takes which agents live.
func (p *FleetView) lives(alive []bool) {
	p.alive = 0
	for i := range p.dead {
		if p.dead[i] = i < len(alive) && !alive[i] && i != p.self; !p.dead[i] {
			p.alive++
		}
	}
}

func (p *FleetView) server(id uint32) *server {
	s := p.servers[id]
	if s == nil && len(p.servers) < mostServers {
		s = &server{}
		p.servers[id] = s
		p.order = append(p.order, id)
	}
	return s
}

// forget drops servers that the list does not name any more.
func (p *FleetView) forget(named func(uint32) bool) {
	p.order = slices.DeleteFunc(p.order, func(id uint32) bool {
		if named(id) {
			return false
		}
		delete(p.servers, id)
		return true
	})
}

// take takes what another agent tells, of itself and of others.
func (p *FleetView) take(now time.Duration, from int, b Payload) {
	for _, d := range b.Digests {
		if d.Agent < len(p.digests) && d.Agent != p.self && len(d.NewRequests) == p.classes && len(d.Tenants) == p.tenants {
			p.digest(now, from, d)
		}
	}
	for _, r := range b.Reports {
		p.report(now, r, false)
	}
	for _, v := range b.Observations {
		p.voice(now, from, v)
	}
}

// digest takes the latest of an agent. A clock's tick of doubt is not news.
func (p *FleetView) digest(now time.Duration, from int, d LoadDigest) {
	e, at := &p.digests[d.Agent], now-d.Age
	if d.Age >= freshFor || e.at != 0 && at <= e.at+ageUnit {
		return
	}
	p.counts.Digests++
	if e.was[0] = -1; e.at != 0 && now-e.at < freshFor {
		e.was, e.gap = e.what.totals(), at-e.at
	}
	e.what, e.at, e.by, e.times = d, at, from, 0
	if !e.waits {
		e.waits = true
		p.news = append(p.news, d.Agent)
	}
}

// report takes what a server said, to this agent or to another. Of what it can do others' word is believed within what own answers have
// shown.
func (p *FleetView) report(now time.Duration, r LoadReport, own bool) {
	s, at := p.server(r.Server), now-r.Age
	if s == nil || r.Age >= reportFor {
		return
	}
	if own {
		if r.Capacity > 0 {
			s.own = r.Capacity
		}
	} else if s.report.at != 0 && at <= s.report.at+ageUnit {
		return
	}
	p.counts.Reports++
	if r.Utilization >= urgentUse && s.report.what.Utilization < urgentUse {
		p.urgent = true
	}
	if r.Capacity == 0 {
		r.Capacity = s.report.what.Capacity
	}
	s.report.what, s.report.at = r, at
}

// capacity is what all servers can do at full use, how busy they are, how far that is of now, and of which part of them it is known.
// Of what a server can do others' word is believed within what own answers have shown, of it or else of the others, and not at all where they
// have shown nothing.
func (p *FleetView) capacity(now time.Duration, ready func(uint32) bool) (capacity, use, sure, known float64) {
	own, owns := 0.0, 0.0
	for _, id := range p.order {
		if s := p.servers[id]; s.own > 0 {
			own, owns = own+s.own, owns+1
		}
	}
	var all, fresh, sum, weight, usage, weights float64
	for _, id := range p.order { // in an order of its own, as sums of floats hang on it
		s := p.servers[id]
		if !ready(id) {
			continue
		}
		all++
		age := now - s.report.at
		if s.report.at == 0 || age >= reportFor {
			continue
		}
		fresh++
		if c := s.report.what.Capacity; c > 0 && owns > 0 {
			most := boldest * own / owns
			if s.own > 0 {
				most = boldest * s.own
			}
			if c > most {
				c = most
				p.counts.Capped++
			}
			sum += c
			weight++
		}
		w := math.Exp(-float64(age) / float64(useFades))
		usage, weights = usage+w*s.report.what.Utilization, weights+w
	}
	if weight > 0 { // those whose capacity nobody knows are like the others
		capacity = sum * fresh / weight
	}
	return capacity, usage / max(weights, math.SmallestNonzeroFloat64), weights / max(fresh, 1), fresh / max(all, 1)
}

// Demand is what the fleet is asked, as far as is known: rates a second.
type Demand struct {
	NewRequests, ClientRetries, Tenants         []float64
	Requests, Admitted, InFlight, ExtraAttempts float64
	ServedInTime, LateOrFailed                  float64
	KnownAgents                                 int // agents of which that is known
	AliveAgents                                 int
}

// lateShare is the part of the answers that come late or not.
func (a *Demand) lateShare() float64 {
	return a.LateOrFailed / max(a.LateOrFailed+a.ServedInTime, math.SmallestNonzeroFloat64)
}

// totals are all first tries and all repeats that an agent is asked.
func (d *LoadDigest) totals() (sums [2]float64) {
	for c := range d.NewRequests {
		sums[0] += d.NewRequests[c]
		sums[1] += d.ClientRetries[c]
	}
	return sums
}

// sum adds up what all agents say. What some have said a while ago is brought up to now by how those of now differ from what was held of
// them before (a ratio estimate), and those of which nothing is heard are taken to be like the others. Nobody's claim counts for more than
// a multiple of what all servers can do and of what all others say, and neither does all that one agent has told here, of itself and others.
func (p *FleetView) sum(now time.Duration, own LoadDigest, capacity float64) Demand {
	a := Demand{NewRequests: slices.Clone(own.NewRequests), ClientRetries: slices.Clone(own.ClientRetries), Tenants: slices.Clone(own.Tenants),
		Requests: own.Requests, Admitted: own.Admitted, InFlight: own.InFlight, ExtraAttempts: own.ExtraAttempts, ServedInTime: own.ServedInTime, LateOrFailed: own.LateOrFailed, KnownAgents: 1, AliveAgents: max(1, p.alive)}
	var fresh, held [2]float64
	gaps, n := time.Duration(0), time.Duration(0)
	for i := range p.digests {
		if e := &p.digests[i]; p.heardOf(i, now) && now-e.at < nowFor && e.was[0] >= 0 {
			for k, x := range e.what.totals() {
				fresh[k], held[k] = fresh[k]+x, held[k]+e.was[k]
			}
			gaps, n = gaps+e.gap, n+1
		}
	}
	trend := [2]float64{1, 1}
	for k := range trend {
		if held[k] > 0 {
			trend[k] = min(max(fresh[k]/held[k], 1/mostTrend), mostTrend)
		}
	}
	claim := func(d *LoadDigest) float64 {
		totals := d.totals()
		return min(totals[0]+totals[1], mostClaim*capacity)
	}
	whole, tellers := claim(&own), make([]float64, len(p.digests))
	for i := range p.digests {
		if e := &p.digests[i]; p.heardOf(i, now) {
			c := claim(&e.what)
			whole += c
			tellers[e.by] += c
		}
	}
	bound := func(x float64) float64 { // on what says so much of the whole
		return min(mostClaim*capacity, mostOthers*max(whole-x, leastOthers*capacity))
	}
	for i := range p.digests {
		if !p.heardOf(i, now) {
			continue
		}
		e := &p.digests[i]
		a.KnownAgents++
		totals, part, again := e.what.totals(), 1.0, 1.0
		if now-e.at >= nowFor && n > 0 {
			over := min(1, float64(now-e.at)/max(1, float64(gaps/n)))
			part, again = math.Pow(trend[0], over), math.Pow(trend[1], over)
		}
		says := part*totals[0] + again*totals[1]
		if most := bound(claim(&e.what)); capacity > 0 && says > most {
			part, again = part*most/says, again*most/says
			p.counts.Capped++
		}
		if all := tellers[e.by]; capacity > 0 && all > bound(all) {
			part, again = part*bound(all)/all, again*bound(all)/all
			p.counts.Capped++
		}
		for c := range e.what.NewRequests {
			a.NewRequests[c] += part * e.what.NewRequests[c]
			a.ClientRetries[c] += again * e.what.ClientRetries[c]
		}
		tenants := 0.0
		for _, x := range e.what.Tenants {
			tenants += x
		}
		for t, x := range e.what.Tenants { // parts of the same first tries
			a.Tenants[t] += part * x * min(1, totals[0]/max(tenants, math.SmallestNonzeroFloat64))
		}
		asked := part*totals[0] + again*totals[1] // what the rest can't be much more than
		a.Requests += part * e.what.Requests
		a.Admitted += min(part*e.what.Admitted, asked)
		a.InFlight += min(e.what.InFlight, asked*openMost.Seconds())
		a.ExtraAttempts += min(e.what.ExtraAttempts, extraMost*asked)
		a.ServedInTime += min(e.what.ServedInTime, asked)
		a.LateOrFailed += min(e.what.LateOrFailed, asked)
	}
	if missing := min(mostMissing, float64(a.AliveAgents)/float64(a.KnownAgents)); missing > 1 {
		for _, rates := range [][]float64{a.NewRequests, a.ClientRetries, a.Tenants} {
			for i := range rates {
				rates[i] *= missing
			}
		}
		a.Requests, a.Admitted, a.InFlight, a.ExtraAttempts, a.ServedInTime, a.LateOrFailed = a.Requests*missing, a.Admitted*missing, a.InFlight*missing, a.ExtraAttempts*missing, a.ServedInTime*missing, a.LateOrFailed*missing
	}
	return a
}

// heardOf reports whether an agent's digest counts.
func (p *FleetView) heardOf(agent int, now time.Duration) bool {
	e := &p.digests[agent]
	return agent != p.self && !p.dead[agent] && e.at != 0 && now-e.at < freshFor
}

// tell writes a body of so many bytes at the most: the own digest, what servers said, voices, and others' digests, the news first.
func (p *FleetView) tell(now time.Duration, own LoadDigest, busy bool, most int) []byte {
	b := Payload{IsBusy: busy, Digests: []LoadDigest{own}}
	size := digestSize(p.classes, p.tenants)
	room := most - 1 - size
	voices := room / 4 / voiceSize
	for range p.order {
		if voices == 0 {
			break
		}
		p.round = (p.round + 1) % len(p.order)
		for _, v := range p.servers[p.order[p.round]].voices {
			if age := now - v.at; voices > 0 && age < voiceFor {
				b.Observations = append(b.Observations, Observation{v.what.Server, v.what.Agent, age})
				voices--
				room -= voiceSize
			}
		}
	}
	reports := room / 4 / reportSize
	for range p.order {
		if reports == 0 {
			break
		}
		p.turn = (p.turn + 1) % len(p.order)
		if s := p.servers[p.order[p.turn]]; s.report.at != 0 && now-s.report.at < reportFor/2 {
			r := s.report.what
			r.Server, r.Age = p.order[p.turn], now-s.report.at
			b.Reports = append(b.Reports, r)
			reports--
			room -= reportSize
		}
	}
	for looked := len(p.news); looked > 0 && room >= size; looked-- {
		agent := p.news[0]
		p.news = p.news[1:]
		e := &p.digests[agent]
		if e.waits = false; p.dead[agent] || now-e.at >= freshFor/2 {
			continue
		}
		d := e.what
		d.Age = now - e.at
		b.Digests = append(b.Digests, d)
		room -= size
		if e.times++; e.times < tellings {
			e.waits = true
			p.news = append(p.news, agent)
		}
	}
	return b.append(make([]byte, 0, most))
}
