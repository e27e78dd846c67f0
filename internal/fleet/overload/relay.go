package overload

import "time"

// maxRelays is how often the digest of another agent is passed on.
const maxRelays = 4

// buildPayload returns a payload of at most so many bytes: the own digest, then observations and reports in turn, and in the rest of the
// room others' digests, the ones that have waited longest first. It is nil where the own digest does not fit.
func (v *FleetView) buildPayload(now time.Duration, own LoadDigest, isBusy bool, maxBytes int) []byte {
	p := Payload{IsBusy: isBusy, Digests: []LoadDigest{own}}
	room := maxBytes - 1 - digestBytes(v.classes, v.tenants)
	if room < 0 {
		return nil
	}
	room -= v.addObservations(now, &p, room/4/observationBytes)
	room -= v.addReports(now, &p, room/4/reportBytes)
	v.relayDigests(now, &p, room)
	return p.appendTo(make([]byte, 0, maxBytes))
}

// addObservations adds up to so many observations and returns their length in bytes.
func (v *FleetView) addObservations(now time.Duration, p *Payload, limit int) (size int) {
	for range v.serverOrder {
		if limit == 0 {
			break
		}
		v.observationIndex = (v.observationIndex + 1) % len(v.serverOrder)
		for _, o := range v.servers[v.serverOrder[v.observationIndex]].observations {
			if age := now - o.observedAt; limit > 0 && age < observationTTL {
				p.Observations = append(p.Observations, Observation{o.value.Server, o.value.Agent, age})
				limit--
				size += observationBytes
			}
		}
	}
	return size
}

// addReports adds up to so many reports and returns their length in bytes. Those that would be too old on arrival aren't sent.
func (v *FleetView) addReports(now time.Duration, p *Payload, limit int) (size int) {
	for range v.serverOrder {
		if limit == 0 {
			break
		}
		v.reportIndex = (v.reportIndex + 1) % len(v.serverOrder)
		id := v.serverOrder[v.reportIndex]
		if s := v.servers[id]; s.report.observedAt != 0 && now-s.report.observedAt < reportTTL/2 {
			r := s.report.value
			r.Server, r.Age = id, now-s.report.observedAt
			p.Reports = append(p.Reports, r)
			limit--
			size += reportBytes
		}
	}
	return size
}

// relayDigests passes on others' digests as far as there is room, and queues each again until it was passed on maxRelays times.
func (v *FleetView) relayDigests(now time.Duration, p *Payload, room int) {
	size := digestBytes(v.classes, v.tenants)
	for queued := len(v.relayQueue); queued > 0 && room >= size; queued-- {
		agent := v.relayQueue[0]
		v.relayQueue = v.relayQueue[1:]
		r := &v.digests[agent]
		if r.isQueued = false; v.isDead[agent] || now-r.observedAt >= digestTTL/2 {
			continue
		}
		d := r.value
		d.Age = now - r.observedAt
		p.Digests = append(p.Digests, d)
		room -= size
		if r.relays++; r.relays < maxRelays {
			r.isQueued = true
			v.relayQueue = append(v.relayQueue, agent)
		}
	}
}
