package overload

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServerID returns the number by which payloads name the server with the given id.
func ServerID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// LoadDigest is what an agent says of its own load. Rates are a second.
type LoadDigest struct {
	Agent         int
	Age           time.Duration // of the rates
	NewRequests   []float64     // requests that arrived and are no retries, by class
	ClientRetries []float64     // requests that are known to be retries of clients, by class
	Tenants       []float64     // NewRequests, by tenant
	Requests      float64       // requests that arrived, retries or not
	Admitted      float64       // requests
	InFlight      float64       // requests that were admitted and haven't ended: a number, no rate
	ExtraAttempts float64       // attempts of the agent beyond the first one of a request
	ServedInTime  float64       // requests
	LateOrFailed  float64       // requests
}

// totals returns the rates of new requests and of clients' retries.
func (d *LoadDigest) totals() (sums [2]float64) {
	for c := range d.NewRequests {
		sums[0] += d.NewRequests[c]
		sums[1] += d.ClientRetries[c]
	}
	return sums
}

// LoadReport is what a server said of itself to one of the agents.
type LoadReport struct {
	Server      uint32 // its ServerID
	Utilization float64
	Capacity    float64 // requests a second at full utilization; 0: not known
	Age         time.Duration
}

// Observation says that a server doesn't serve an agent: it hangs, breaks connections or fails.
type Observation struct {
	Server uint32 // its ServerID
	Agent  int    // that observed it
	Age    time.Duration
}

// Payload is what an agent tells another at a time.
type Payload struct {
	IsBusy       bool // the sender sees a busy fleet: the receiver tells more often for a while
	Digests      []LoadDigest
	Reports      []LoadReport
	Observations []Observation
}

// The format: a byte of flags, then records that begin with a byte for their kind. The figures are lengths in bytes; a rate is a byte, to a
// sixteenth of a doubling, an age a byte in units of 50 ms.
//
//	digest       kind 1, agent 2, age 1, numbers of classes and tenants 1 (four bits each), then a byte for each rate: new requests and
//	             clients' retries by class, tenants, requests, admitted, in flight, extra attempts, served in time, late or failed
//	report       kind 1, server 4, utilization 1, capacity 1, age 1
//	observation  kind 1, server 4, agent 2, age 1
const (
	flagBusy = 1

	recordDigest      = 1
	recordReport      = 2
	recordObservation = 3

	digestHeadBytes  = 5
	digestTailBytes  = 6
	reportBytes      = 8
	observationBytes = 8

	ageUnit          = 50 * time.Millisecond
	maxAgeCode       = 255
	codesPerDoubling = 16
	minRateExponent  = -3 // 2 to that a second is the lowest rate that isn't 0
	utilizationUnit  = 250
	maxNibble        = 15
)

// How many classes and tenants a digest tells apart; further ones are counted with the last.
const (
	MaxClasses = maxNibble
	MaxTenants = maxNibble
)

var errMalformed = errors.New("no body of ours")

func digestBytes(classes, tenants int) int {
	return digestHeadBytes + 2*classes + tenants + digestTailBytes
}

// encodeRate returns the byte for a rate; 0 is none.
func encodeRate(rate float64) byte {
	if !(rate > 0) { // also NaN
		return 0
	}
	code := math.Round((math.Log2(rate)-minRateExponent)*codesPerDoubling) + 1
	switch {
	case code < 1 && code > -codesPerDoubling/2:
		return 1
	case code < 1:
		return 0
	}
	return byte(min(code, 255))
}

func decodeRate(code byte) float64 {
	if code == 0 {
		return 0
	}
	return math.Exp2(float64(code-1)/codesPerDoubling + minRateExponent)
}

func encodeAge(age time.Duration) byte {
	return byte(min(max(age+ageUnit/2, 0)/ageUnit, maxAgeCode))
}

func decodeAge(code byte) time.Duration { return time.Duration(code) * ageUnit }

func encodeUtilization(utilization float64) byte {
	return byte(math.Round(min(max(utilization, 0), 1) * utilizationUnit))
}

// appendTo appends the bytes of a payload.
func (p Payload) appendTo(b []byte) []byte {
	flags := byte(0)
	if p.IsBusy {
		flags |= flagBusy
	}
	b = append(b, flags)
	for _, d := range p.Digests {
		b = append(b, recordDigest)
		b = binary.BigEndian.AppendUint16(b, uint16(d.Agent))
		b = append(b, encodeAge(d.Age), byte(len(d.NewRequests)<<4|len(d.Tenants)))
		tail := []float64{d.Requests, d.Admitted, d.InFlight, d.ExtraAttempts, d.ServedInTime, d.LateOrFailed}
		for _, rates := range [][]float64{d.NewRequests, d.ClientRetries, d.Tenants, tail} {
			for _, rate := range rates {
				b = append(b, encodeRate(rate))
			}
		}
	}
	for _, r := range p.Reports {
		b = append(b, recordReport)
		b = binary.BigEndian.AppendUint32(b, r.Server)
		b = append(b, encodeUtilization(r.Utilization), encodeRate(r.Capacity), encodeAge(r.Age))
	}
	for _, o := range p.Observations {
		b = append(b, recordObservation)
		b = binary.BigEndian.AppendUint32(b, o.Server)
		b = binary.BigEndian.AppendUint16(b, uint16(o.Agent))
		b = append(b, encodeAge(o.Age))
	}
	return b
}

// parsePayload reads a payload up to the first record of a kind that isn't known: those before it count, so that a later version may add
// kinds behind them.
func parsePayload(b []byte) (p Payload, err error) {
	if len(b) == 0 {
		return p, fmt.Errorf("%w: it is empty", errMalformed)
	}
	p.IsBusy = b[0]&flagBusy != 0
	for b = b[1:]; len(b) > 0; {
		size := 0
		switch b[0] {
		case recordDigest:
			if len(b) >= digestHeadBytes {
				size = digestBytes(int(b[4]>>4), int(b[4]&maxNibble))
			}
		case recordReport:
			size = reportBytes
		case recordObservation:
			size = observationBytes
		default:
			return p, nil
		}
		if size == 0 || len(b) < size {
			return p, fmt.Errorf("%w: a record is cut", errMalformed)
		}
		p.addRecord(b[:size])
		b = b[size:]
	}
	return p, nil
}

// addRecord decodes a record of its full length.
func (p *Payload) addRecord(b []byte) {
	switch b[0] {
	case recordDigest:
		p.Digests = append(p.Digests, parseDigest(b))
	case recordReport:
		p.Reports = append(p.Reports, LoadReport{Server: binary.BigEndian.Uint32(b[1:]), Utilization: float64(b[5]) / utilizationUnit,
			Capacity: decodeRate(b[6]), Age: decodeAge(b[7])})
	case recordObservation:
		p.Observations = append(p.Observations, Observation{Server: binary.BigEndian.Uint32(b[1:]), Agent: int(binary.BigEndian.Uint16(b[5:])),
			Age: decodeAge(b[7])})
	}
}

func parseDigest(b []byte) LoadDigest {
	classes, tenants := int(b[4]>>4), int(b[4]&maxNibble)
	d := LoadDigest{Agent: int(binary.BigEndian.Uint16(b[1:])), Age: decodeAge(b[3])}
	rates := make([]float64, 0, 2*classes+tenants)
	for _, code := range b[digestHeadBytes : len(b)-digestTailBytes] {
		rates = append(rates, decodeRate(code))
	}
	d.NewRequests, d.ClientRetries, d.Tenants = rates[:classes], rates[classes:2*classes], rates[2*classes:]
	tail := b[len(b)-digestTailBytes:]
	d.Requests, d.Admitted, d.InFlight = decodeRate(tail[0]), decodeRate(tail[1]), decodeRate(tail[2])
	d.ExtraAttempts, d.ServedInTime, d.LateOrFailed = decodeRate(tail[3]), decodeRate(tail[4]), decodeRate(tail[5])
	return d
}
