package overload

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

// LoadDigest is what an agent tells of itself. Rates are a second.
type LoadDigest struct {
	Agent         int
	Age           time.Duration // of what it says
	NewRequests   []float64     // first tries that were asked, by class
	ClientRetries []float64     // repeats that are known for such, by class
	Tenants       []float64     // first tries, by tenant
	Requests      float64       // tries, whatever they are
	Admitted      float64       // calls that were let in
	InFlight      float64       // calls that were let in and have not ended: a number
	ExtraAttempts float64       // attempts beyond the first of each call
	ServedInTime  float64       // calls that were served in time
	LateOrFailed  float64       // calls that were served late, or failed
}

// LoadReport is what a server said of itself to one of the agents.
type LoadReport struct {
	Server      uint32 // see Server
	Utilization float64
	Capacity    float64 // requests a second that it does at full use; 0: not known
	Age         time.Duration
}

// Observation is one agent's word that a server does not serve it.
type Observation struct {
	Server uint32
	Agent  int
	Age    time.Duration
}

// Payload is what an agent tells at a time.
type Payload struct {
	IsBusy       bool // the teller sees the fleet busy: who hears it tells more often for a while
	Digests      []LoadDigest
	Reports      []LoadReport
	Observations []Observation
}

// The form: a byte of flags, then records of a kind each. Rates are told to a part of sixteen of their doubling, ages to 50 ms.
//
//	digest  kind 1, agent 2, age 1, classes and tenants 1 (four bits each), first, again and tenants, all, let in, open, extra, good, late, a byte each
//	report  kind 2, server 4, use 1, capacity 1, age 1
//	voice   kind 3, server 4, agent 2, age 1
const (
	flagBusy = 1

	kindDigest = 1
	kindReport = 2
	kindVoice  = 3

	digestHead = 5
	digestTail = 6
	reportSize = 8
	voiceSize  = 8

	ageUnit     = 50 * time.Millisecond
	ageMost     = 255
	perDoubling = 16
	leastPower  = -3 // 2 to that a second is the least rate that is told
	useUnit     = 250
	nibble      = 15
)

// MaxClasses and MaxTenants are how many of each a digest tells apart; those behind are told with the last.
const (
	MaxClasses = nibble
	MaxTenants = nibble
)

var errBody = errors.New("no body of ours")

func digestSize(classes, tenants int) int { return digestHead + 2*classes + tenants + digestTail }

// rateCode is a rate in a byte; 0 is none.
func rateCode(x float64) byte {
	if !(x > 0) {
		return 0
	}
	code := math.Round((math.Log2(x)-leastPower)*perDoubling) + 1
	switch {
	case code < 1 && code > -perDoubling/2:
		return 1
	case code < 1:
		return 0
	}
	return byte(min(code, 255))
}

func rateOf(code byte) float64 {
	if code == 0 {
		return 0
	}
	return math.Exp2(float64(code-1)/perDoubling + leastPower)
}

func ageCode(age time.Duration) byte {
	return byte(min(max(age+ageUnit/2, 0)/ageUnit, ageMost))
}

func ageOf(code byte) time.Duration { return time.Duration(code) * ageUnit }

func useCode(use float64) byte { return byte(math.Round(min(max(use, 0), 1) * useUnit)) }

// append writes a body.
func (b Payload) append(to []byte) []byte {
	flags := byte(0)
	if b.IsBusy {
		flags |= flagBusy
	}
	to = append(to, flags)
	for _, d := range b.Digests {
		to = append(to, kindDigest)
		to = binary.BigEndian.AppendUint16(to, uint16(d.Agent))
		to = append(to, ageCode(d.Age), byte(len(d.NewRequests)<<4|len(d.Tenants)))
		for _, rates := range [][]float64{d.NewRequests, d.ClientRetries, d.Tenants, {d.Requests, d.Admitted, d.InFlight, d.ExtraAttempts, d.ServedInTime, d.LateOrFailed}} {
			for _, x := range rates {
				to = append(to, rateCode(x))
			}
		}
	}
	for _, r := range b.Reports {
		to = append(to, kindReport)
		to = binary.BigEndian.AppendUint32(to, r.Server)
		to = append(to, useCode(r.Utilization), rateCode(r.Capacity), ageCode(r.Age))
	}
	for _, v := range b.Observations {
		to = append(to, kindVoice)
		to = binary.BigEndian.AppendUint32(to, v.Server)
		to = binary.BigEndian.AppendUint16(to, uint16(v.Agent))
		to = append(to, ageCode(v.Age))
	}
	return to
}

// parse reads a body. Records of a kind that is not known end the reading: what is before them counts.
func parse(b []byte) (body Payload, err error) {
	if len(b) == 0 {
		return body, fmt.Errorf("%w: it is empty", errBody)
	}
	body.IsBusy = b[0]&flagBusy != 0
	for b = b[1:]; len(b) > 0; {
		size := 0
		switch b[0] {
		case kindDigest:
			if len(b) >= digestHead {
				size = digestSize(int(b[4]>>4), int(b[4]&nibble))
			}
		case kindReport, kindVoice:
			size = reportSize
		default:
			return body, nil
		}
		if size == 0 || len(b) < size {
			return body, fmt.Errorf("%w: a record is cut", errBody)
		}
		body.record(b[:size])
		b = b[size:]
	}
	return body, nil
}

func (b *Payload) record(text []byte) {
	switch text[0] {
	case kindDigest:
		classes, tenants := int(text[4]>>4), int(text[4]&nibble)
		d := LoadDigest{Agent: int(binary.BigEndian.Uint16(text[1:])), Age: ageOf(text[3])}
		rates := make([]float64, 0, 2*classes+tenants)
		for _, code := range text[digestHead : len(text)-digestTail] {
			rates = append(rates, rateOf(code))
		}
		d.NewRequests, d.ClientRetries, d.Tenants = rates[:classes], rates[classes:2*classes], rates[2*classes:]
		tail := text[len(text)-digestTail:]
		d.Requests, d.Admitted, d.InFlight = rateOf(tail[0]), rateOf(tail[1]), rateOf(tail[2])
		d.ExtraAttempts, d.ServedInTime, d.LateOrFailed = rateOf(tail[3]), rateOf(tail[4]), rateOf(tail[5])
		b.Digests = append(b.Digests, d)
	case kindReport:
		b.Reports = append(b.Reports, LoadReport{Server: binary.BigEndian.Uint32(text[1:]), Utilization: float64(text[5]) / useUnit, Capacity: rateOf(text[6]), Age: ageOf(text[7])})
	case kindVoice:
		b.Observations = append(b.Observations, Observation{Server: binary.BigEndian.Uint32(text[1:]), Agent: int(binary.BigEndian.Uint16(text[5:])), Age: ageOf(text[7])})
	}
}
