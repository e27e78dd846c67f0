package overload

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"appleledge/internal/admission"
	"appleledge/internal/besteffort"
)

const (
	ownRateDecay    = 400 * time.Millisecond // in which the weight of an event in a rate falls to 1/e
	lotTTL          = 10 * time.Second       // for which a key draws the same lot
	minCountingLots = 0.2                    // part of the lots by which new requests are counted at least
)

// drawLot returns a number from 0 to 1 by which a request is admitted or rejected. Requests with the same key draw the same for a while, so
// that one that was rejected is rejected again when its client retries, and one that was admitted stays admitted: with a new draw each time
// nearly all requests would be admitted after some retries, and all of them late (after DAGOR's user-level priorities; H. Zhou and others,
// 2018).
func (d *AdmissionController) drawLot(now time.Duration, a admission.Request) float64 {
	if a.Key == "" {
		return d.rng.Float64()
	}
	if now-d.saltDrawnAt >= lotTTL || d.saltDrawnAt == 0 {
		d.saltDrawnAt, d.salt = now, d.rng.Uint64()
	}
	var salt [8]byte
	binary.LittleEndian.PutUint64(salt[:], d.salt)
	var h xxhash.Digest
	h.Reset()
	besteffort.IgnoreResult(h.Write(salt[:]))
	besteffort.IgnoreResult(h.WriteString(a.Key))
	return float64(h.Sum64()>>11) / (1 << 53)
}

// arrivalRates are what this agent is asked for, as in LoadDigest.
type arrivalRates struct {
	newRequests, clientRetries, tenants                           []decayingRate
	requests, admitted, extraAttempts, servedInTime, lateOrFailed decayingRate
}

func (r *arrivalRates) growTo(classes, tenants int) {
	for len(r.newRequests) < classes {
		r.newRequests, r.clientRetries = append(r.newRequests, decayingRate{}), append(r.clientRetries, decayingRate{})
	}
	for len(r.tenants) < tenants {
		r.tenants = append(r.tenants, decayingRate{})
	}
}

// countRequest counts a request. A retry that its client doesn't mark can't be told from a new request. But new requests draw any lot, and
// one whose lot is admitted isn't retried: so the requests with such lots say how many new ones there are, and the others are retries.
func (r *arrivalRates) countRequest(now time.Duration, class, tenant int, isRetry bool, lot, admitProbability float64) {
	r.requests.add(now, 1)
	countingLots := max(admitProbability, minCountingLots)
	switch {
	case isRetry:
		r.clientRetries[class].add(now, 1)
	case lot < countingLots:
		r.newRequests[class].add(now, 1/countingLots)
		if tenant >= 0 && len(r.tenants) > 0 {
			r.tenants[digestIndex(tenant, len(r.tenants))].add(now, 1/countingLots)
		}
	}
}

func (r *arrivalRates) digest(now time.Duration, self, inFlight int) LoadDigest {
	d := LoadDigest{Agent: self, Requests: r.requests.perSecond(now), InFlight: float64(inFlight), Admitted: r.admitted.perSecond(now),
		ExtraAttempts: r.extraAttempts.perSecond(now), ServedInTime: r.servedInTime.perSecond(now), LateOrFailed: r.lateOrFailed.perSecond(now)}
	for c := range r.newRequests {
		d.NewRequests, d.ClientRetries = append(d.NewRequests, r.newRequests[c].perSecond(now)), append(d.ClientRetries, r.clientRetries[c].perSecond(now))
	}
	for t := range r.tenants {
		d.Tenants = append(d.Tenants, r.tenants[t].perSecond(now))
	}
	return d
}

// decayingRate is the rate of events, of which the latest weigh most. The zero value has none.
type decayingRate struct {
	count     float64 // at updatedAt
	updatedAt time.Duration
}

func (r *decayingRate) add(now time.Duration, events float64) {
	r.count = r.count*math.Exp(-float64(now-r.updatedAt)/float64(ownRateDecay)) + events
	r.updatedAt = now
}

func (r *decayingRate) perSecond(now time.Duration) float64 {
	return r.count * math.Exp(-float64(now-r.updatedAt)/float64(ownRateDecay)) / ownRateDecay.Seconds()
}
