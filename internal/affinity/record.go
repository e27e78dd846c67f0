package affinity

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"
)

// RecordKind says what a Record is.
type RecordKind uint8

// The kinds of records.
const (
	RecordBound   RecordKind = 1 + iota // a tie: an attempt is about to be sent that may run
	RecordUnbound                       // nothing of it has run
	RecordServed                        // and how it ended
	RecordFailed
)

// Record is a change of a Table, as it is kept.
type Record struct {
	Kind      RecordKind
	Key       Key
	At        time.Duration // on the engine's clock
	Pod, Zone int32
}

// RecordSize is how many bytes a record has. All have the same, so that what follows a damaged one can be read.
const RecordSize = 40

// ErrCorruptRecord says that bytes are no record as it was written.
var ErrCorruptRecord = errors.New("a record is damaged")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends the record: key, time in nanoseconds, pod, zone, kind and a CRC-32C of all that, in little-endian order. stamp
// turns the engine's times into ones that another process understands.
func (r Record) Append(to []byte, stamp func(time.Duration) int64) []byte {
	begin := len(to)
	to = binary.LittleEndian.AppendUint64(to, r.Key[0])
	to = binary.LittleEndian.AppendUint64(to, r.Key[1])
	to = binary.LittleEndian.AppendUint64(to, uint64(stamp(r.At)))
	to = binary.LittleEndian.AppendUint32(to, uint32(r.Pod))
	to = binary.LittleEndian.AppendUint32(to, uint32(r.Zone)<<8|uint32(r.Kind))
	to = append(to, 0, 0, 0, 0) // for later kinds
	return binary.LittleEndian.AppendUint32(to, crc32.Checksum(to[begin:], castagnoli))
}

// DecodeRecord reads a record of RecordSize bytes.
func DecodeRecord(b []byte, clock func(stamp int64) time.Duration) (Record, error) {
	if len(b) != RecordSize || crc32.Checksum(b[:RecordSize-4], castagnoli) != binary.LittleEndian.Uint32(b[RecordSize-4:]) {
		return Record{}, ErrCorruptRecord
	}
	zone := binary.LittleEndian.Uint32(b[28:])
	r := Record{Key: Key{binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])},
		At: clock(int64(binary.LittleEndian.Uint64(b[16:]))), Pod: int32(binary.LittleEndian.Uint32(b[24:])), Zone: int32(zone) >> 8, Kind: RecordKind(zone & 255)}
	if r.Kind < RecordBound || r.Kind > RecordFailed {
		return Record{}, ErrCorruptRecord
	}
	return r, nil
}
