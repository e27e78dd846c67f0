package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"appleledge/internal/balancer"
)

const (
	voiceFor   = 5 * time.Second        // for which a voice counts
	silentMost = 600 * time.Millisecond // without a sign from a server that owes answers, from which it is ill
	badFor     = 3 * time.Second        // over which ends of attempts fade
	badLeast   = 2
	badPart    = 0.5
	usedFor    = 10 * time.Second // for which a server counts as one that this agent uses
	mePart     = 1.0 / 3          // of those, that are ill: it is this agent that can't be reached
	voicesFor  = 2                // agents that have to say so
	heldMost   = 1.0 / 3          // of the servers, that may be held out on voices
	testers    = 2                // agents that go on with a server that all others hold out
	wellFor    = time.Second      // after an own answer in order, in which no voice counts
)

// illness is how a server does for this agent.
type illness struct {
	out       int           // attempts that it owes an answer to
	waiting   time.Duration // since when, without any sign from it
	good, bad float64       // ends, fading
	faded     time.Duration
	used      time.Duration // the last attempt
	well      time.Duration // the last answer in order
}

func (i *illness) fade(now time.Duration) {
	keep := math.Exp(-float64(now-i.faded) / float64(badFor))
	i.good, i.bad, i.faded = i.good*keep, i.bad*keep, now
}

func (i *illness) sent(now time.Duration) {
	if i.used = now; i.out == 0 {
		i.waiting = now
	}
	i.out++
}

func (i *illness) ended(now time.Duration, r balancer.Result) {
	i.out = max(0, i.out-1)
	i.fade(now)
	switch r {
	case balancer.OK:
		i.good++
		i.well, i.waiting = now, now
	case balancer.Rejected:
		i.waiting = now
	case balancer.Failed:
		i.bad++
		i.waiting = now
	case balancer.ConnectFailed, balancer.Reset, balancer.TimedOut:
		i.bad++
	}
}

// ill reports whether the server does not serve this agent.
func (i *illness) ill(now time.Duration) bool {
	if i.out > 0 && now-i.waiting >= silentMost {
		return true
	}
	i.fade(now)
	return i.bad >= badLeast && i.bad >= badPart*(i.bad+i.good)
}

// voice takes one agent's word that a server does not serve it.
func (p *FleetView) voice(now time.Duration, from int, v Observation) {
	s, at := p.server(v.Server), now-v.Age
	if s == nil || v.Age >= voiceFor || v.Agent >= len(p.digests) || p.dead[v.Agent] {
		return
	}
	for i := range s.voices {
		if o := &s.voices[i]; o.what.Agent == v.Agent {
			if at > o.at+ageUnit {
				o.at, o.by = at, from
				p.counts.Observations++
			}
			return
		}
	}
	s.voices = slices.DeleteFunc(s.voices, func(o told[Observation]) bool { return now-o.at >= voiceFor })
	if len(s.voices) < mostVoices {
		s.voices = append(s.voices, told[Observation]{what: v, at: at, by: from})
		p.counts.Observations++
	}
}

// speak raises this agent's own voice for the servers that do not serve it, unless it is so many that the fault is likely its own.
func (p *FleetView) speak(now time.Duration) {
	var ills []uint32
	used := 0
	for id, s := range p.servers {
		if s.used == 0 || now-s.used >= usedFor {
			continue
		}
		if used++; s.ill(now) {
			ills = append(ills, id)
		}
	}
	if float64(len(ills)) > max(1, mePart*float64(used)) {
		return
	}
	for _, id := range ills {
		p.voice(now, p.self, Observation{Server: id, Agent: p.self})
	}
}

// held are the servers that are held out on the voices of several agents, sorted: those that nobody has had an answer in order from
// since, that do not serve this agent itself, and whose trials are others'. The longest held come first, so that it is no other set
// with each voice.
func (p *FleetView) held(now time.Duration, ready func(uint32) bool) (ids []uint32) {
	type claim struct {
		id    uint32
		since time.Duration
	}
	var claims []claim
	all := 0
	for id, s := range p.servers {
		if !ready(id) {
			continue
		}
		all++
		var voices []time.Duration
		var by []int // who told them here: one agent can say what it likes of many
		for _, v := range s.voices {
			if now-v.at < voiceFor && !p.dead[v.what.Agent] {
				voices = append(voices, v.at)
				if !slices.Contains(by, v.by) {
					by = append(by, v.by)
				}
			}
		}
		if len(by) < voicesFor || now-s.well < wellFor && s.well != 0 {
			continue
		}
		slices.Sort(voices)
		if latest := voices[len(voices)-1]; s.report.at > latest || p.tests(id) {
			continue
		}
		claims = append(claims, claim{id, voices[0]})
	}
	slices.SortFunc(claims, func(x, y claim) int { return cmp.Or(cmp.Compare(x.since, y.since), cmp.Compare(x.id, y.id)) })
	for _, c := range claims[:min(len(claims), int(heldMost*float64(all)))] {
		ids = append(ids, c.id)
	}
	slices.Sort(ids)
	return ids
}

// tests reports whether this agent is one of those that go on with a server while others hold it out: by rendezvous over those that
// live, so that nobody has to be told (D. Thaler and C. Ravishankar, 1998).
func (p *FleetView) tests(id uint32) bool {
	own, above := bid(id, p.self), 0
	for i := range p.dead {
		if i != p.self && !p.dead[i] && bid(id, i) > own {
			if above++; above >= testers {
				return false
			}
		}
	}
	return true
}

func bid(id uint32, agent int) uint64 {
	x := uint64(id)<<32 ^ uint64(agent+1)*0x9E3779B97F4A7C15
	x ^= x >> 31
	x *= 0xBF58476D1CE4E5B9
	return x ^ x>>29
}
