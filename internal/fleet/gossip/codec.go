package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// The format of a datagram: a header, records that each begin with a byte for their kind, and the authentication code. Numbers are big
// endian; the figures are lengths in bytes.
//
//	header       version 1 (four bits for the format, four for the revision), kind 1, key 1, from 2, to 2, incarnation 4,
//	             sender's session 8, receiver's session 8, sequence 4, number 4, target 2
//	update       record kind 1, state 1, member 2, incarnation 4, reporter 2
//	observation  record kind 1, kind 1, id 8, value 4, age 2 (tenths of a second)
//
// A Hello has no records but a challenge and a proof of 8 bytes each; a Payload message has its bytes.
//
// Agents of different revisions of one format understand each other, so that a fleet can be upgraded agent by agent: a later revision adds
// kinds of messages, of which an older agent reads the header alone, and kinds of records, which stand behind the ones that all know.
// Datagrams of another format are dropped.
const (
	formatVersion    = 0
	revision         = 2
	versionByte      = formatVersion<<4 | revision
	headerBytes      = 37
	macBytes         = 16
	helloBytes       = 16
	updateBytes      = 10
	observationBytes = 16
	maxRecordBytes   = MaxDatagramBytes - headerBytes - macBytes // of all records together

	recordUpdate      = 1
	recordObservation = 2

	ageUnit = 100 * time.Millisecond
	maxAge  = 6553 * time.Second
)

const (
	// MaxDatagramBytes is the length of the longest datagram.
	MaxDatagramBytes = 256
	// MaxPayloadBytes is the length of the longest payload of a Payload message.
	MaxPayloadBytes = maxRecordBytes

	maxAgents = 1 << 16 // that two bytes can number
)

var (
	errMalformed = errors.New("a datagram that is none of ours")
	// ErrUnsupportedFormat is wrapped by the error for a datagram of a format that this program can't read.
	ErrUnsupportedFormat = errors.New("a datagram of another form")
)

// linkHeader is the part of the header that a Link adds to a message.
type linkHeader struct {
	keyID           byte
	senderSession   uint64
	receiverSession uint64 // as the sender knows it
	sequence        uint32
}

// appendTo appends the datagram of a message without its authentication code.
func (m Message) appendTo(b []byte, h linkHeader) []byte {
	b = append(b, versionByte, byte(m.Kind), h.keyID)
	b = binary.BigEndian.AppendUint16(b, uint16(m.From))
	b = binary.BigEndian.AppendUint16(b, uint16(m.To))
	b = binary.BigEndian.AppendUint32(b, m.Incarnation)
	b = binary.BigEndian.AppendUint64(b, h.senderSession)
	b = binary.BigEndian.AppendUint64(b, h.receiverSession)
	b = binary.BigEndian.AppendUint32(b, h.sequence)
	b = binary.BigEndian.AppendUint32(b, m.Number)
	b = binary.BigEndian.AppendUint16(b, uint16(m.Target))
	switch m.Kind {
	case Hello:
		b = binary.BigEndian.AppendUint64(b, m.challenge)
		return binary.BigEndian.AppendUint64(b, m.proof)
	case Payload:
		return append(b, m.Payload...)
	}
	for _, u := range m.Updates {
		b = append(b, recordUpdate, byte(u.State))
		b = binary.BigEndian.AppendUint16(b, uint16(u.Member))
		b = binary.BigEndian.AppendUint32(b, u.Incarnation)
		b = binary.BigEndian.AppendUint16(b, uint16(u.Reporter))
	}
	for _, o := range m.Observations {
		b = append(b, recordObservation, byte(o.Kind))
		b = binary.BigEndian.AppendUint64(b, o.ID)
		b = binary.BigEndian.AppendUint32(b, o.Value)
		b = binary.BigEndian.AppendUint16(b, uint16(min(max(o.Age, 0), maxAge)/ageUnit))
	}
	return b
}

// parseMessage reads a datagram without its authentication code.
func parseMessage(b []byte) (m Message, h linkHeader, err error) {
	if m, h, err = parseHeader(b); err != nil {
		return m, h, err
	}
	body := b[headerBytes:]
	switch {
	case m.Kind == Hello:
		if len(body) != helloBytes {
			return m, h, fmt.Errorf("%w: a hello of %d bytes", errMalformed, len(body))
		}
		m.challenge, m.proof = binary.BigEndian.Uint64(body), binary.BigEndian.Uint64(body[8:])
	case m.Kind == Payload:
		m.Payload = body
	case m.Kind < Payload:
		err = m.parseRecords(body)
	} // a later revision's kind has a body that isn't known
	return m, h, err
}

func parseHeader(b []byte) (m Message, h linkHeader, err error) {
	if len(b) < headerBytes {
		return m, h, fmt.Errorf("%w: %d bytes", errMalformed, len(b))
	}
	datagramFormat, datagramRevision := b[0]>>4, b[0]&0xf
	if datagramFormat != formatVersion || datagramRevision == 0 {
		return m, h, fmt.Errorf("%w: form %d, revision %d", ErrUnsupportedFormat, datagramFormat, datagramRevision)
	}
	m.Kind, h.keyID = Kind(b[1]), b[2]
	if m.Kind < Hello || m.Kind > Payload && datagramRevision <= revision {
		return m, h, fmt.Errorf("%w: kind %d", errMalformed, b[1])
	}
	m.From, m.To = int(binary.BigEndian.Uint16(b[3:])), int(binary.BigEndian.Uint16(b[5:]))
	m.Incarnation = binary.BigEndian.Uint32(b[7:])
	h.senderSession, h.receiverSession = binary.BigEndian.Uint64(b[11:]), binary.BigEndian.Uint64(b[19:])
	h.sequence, m.Number = binary.BigEndian.Uint32(b[27:]), binary.BigEndian.Uint32(b[31:])
	m.Target = int(binary.BigEndian.Uint16(b[35:]))
	return m, h, nil
}

// parseRecords reads records up to the first of a kind that isn't known: those before it count, so that a later revision may add kinds
// behind them.
func (m *Message) parseRecords(b []byte) error {
	for len(b) > 0 {
		switch {
		case b[0] == recordUpdate && len(b) >= updateBytes:
			u := MemberUpdate{State: State(b[1]), Member: int(binary.BigEndian.Uint16(b[2:])), Incarnation: binary.BigEndian.Uint32(b[4:]),
				Reporter: int(binary.BigEndian.Uint16(b[8:]))}
			if u.State < Alive || u.State > Left {
				return fmt.Errorf("%w: state %d", errMalformed, b[1])
			}
			m.Updates, b = append(m.Updates, u), b[updateBytes:]
		case b[0] == recordObservation && len(b) >= observationBytes:
			m.Observations = append(m.Observations, Observation{Kind: ObservationKind(b[1]), ID: binary.BigEndian.Uint64(b[2:]),
				Value: binary.BigEndian.Uint32(b[10:]), Age: time.Duration(binary.BigEndian.Uint16(b[14:])) * ageUnit})
			b = b[observationBytes:]
		case b[0] == recordUpdate || b[0] == recordObservation:
			return fmt.Errorf("%w: a record is cut", errMalformed)
		default:
			return nil
		}
	}
	return nil
}
