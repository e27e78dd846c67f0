package affinity

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"
)

// RecordKind says what a Record is.
type RecordKind uint8

// The kinds of records. Their numbers are written to disk and must not change.
const (
	RecordBound   RecordKind = 1 + iota // a binding was made or renewed: an attempt is about to be sent that may run
	RecordUnbound                       // it was taken back: no attempt of the key has run
	RecordServed                        // an attempt ended with an answer
	RecordFailed                        // an attempt ended without one
)

// Record is a change of a Table, as it is stored.
type Record struct {
	Kind      RecordKind
	Key       Key
	At        time.Duration // on the engine's clock; UnknownTime where the machine has rebooted since
	Pod, Zone int32         // numbers, of RecordBound alone; a zone is stored in 24 bits
}

// RecordSize is the size of a stored record in bytes. All have the same size, so that one corrupt record does not hide those
// behind it.
const RecordSize = 40

// ErrCorruptRecord says that bytes are not a record as it was written: its size, checksum or kind is wrong. The caller skips it.
var ErrCorruptRecord = errors.New("a record is damaged")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends the stored form of the record to a buffer and returns it: key, time in nanoseconds, pod, zone, kind and a
// CRC-32C of all that, in little-endian order. toStamp turns the engine's times into ones that other processes understand.
func (r Record) Append(to []byte, toStamp func(time.Duration) int64) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint64(to, r.Key[0])
	to = binary.LittleEndian.AppendUint64(to, r.Key[1])
	to = binary.LittleEndian.AppendUint64(to, uint64(toStamp(r.At)))
	to = binary.LittleEndian.AppendUint32(to, uint32(r.Pod))
	to = binary.LittleEndian.AppendUint32(to, uint32(r.Zone)<<8|uint32(r.Kind))
	to = append(to, 0, 0, 0, 0) // for later kinds
	return binary.LittleEndian.AppendUint32(to, crc32.Checksum(to[start:], castagnoli))
}

// DecodeRecord reads a record of RecordSize bytes; fromStamp is the reverse of Append's toStamp. The error is ErrCorruptRecord.
func DecodeRecord(b []byte, fromStamp func(stamp int64) time.Duration) (Record, error) {
	if len(b) != RecordSize || crc32.Checksum(b[:RecordSize-4], castagnoli) != binary.LittleEndian.Uint32(b[RecordSize-4:]) {
		return Record{}, ErrCorruptRecord
	}
	zoneAndKind := binary.LittleEndian.Uint32(b[28:])
	r := Record{Key: Key{binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])},
		At: fromStamp(int64(binary.LittleEndian.Uint64(b[16:]))), Pod: int32(binary.LittleEndian.Uint32(b[24:])), Zone: int32(zoneAndKind) >> 8, Kind: RecordKind(zoneAndKind & 255)}
	if r.Kind < RecordBound || r.Kind > RecordFailed {
		return Record{}, ErrCorruptRecord
	}
	return r, nil
}
