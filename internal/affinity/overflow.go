package affinity

import (
	"time"

	"github.com/bits-and-blooms/bloom/v3"
)

const (
	filterFalsePositiveRate = 0.001 // when the filters are full
	filterKeysPerEntry      = 16    // keys for each of the table's entries: 1.8 bytes each, where an entry has about a hundred
)

// overflowFilter remembers keys for one to two rotation periods, in bounded memory and with few false positives: two Bloom
// filters that take turns. A false positive makes a new request fail as if it had run; a key that it remembers is never missed.
type overflowFilter struct {
	current, previous            *bloom.BloomFilter
	keysInCurrent                int // at most maxKeys, so that the rate of false positives holds
	maxKeys                      int
	rotationPeriod, nextRotation time.Duration
	rejectedKeys                 uint64 // keys that found no room
}

func newOverflowFilter(maxEntries int, rotationPeriod time.Duration) overflowFilter {
	maxKeys := maxEntries * filterKeysPerEntry
	return overflowFilter{maxKeys: maxKeys, rotationPeriod: rotationPeriod,
		current:  bloom.NewWithEstimates(uint(maxKeys), filterFalsePositiveRate),
		previous: bloom.NewWithEstimates(uint(maxKeys), filterFalsePositiveRate)}
}

// rotate brings the filters up to the time. After a silence of more than two periods both are empty.
func (f *overflowFilter) rotate(now time.Duration) {
	if f.nextRotation == 0 {
		f.nextRotation = now + f.rotationPeriod
	}
	for rotations := 0; now >= f.nextRotation; f.nextRotation += f.rotationPeriod {
		if rotations++; rotations > 2 {
			f.nextRotation = now + f.rotationPeriod
			return
		}
		f.current, f.previous, f.keysInCurrent = f.previous.ClearAll(), f.current, 0
	}
}

// extendRotationPeriod makes the period longer, for the keys that are remembered as well. A shorter one changes nothing.
func (f *overflowFilter) extendRotationPeriod(period time.Duration) {
	extension := max(0, period-f.rotationPeriod)
	f.rotationPeriod += extension
	if f.nextRotation != 0 {
		f.nextRotation += extension
	}
}

func (f *overflowFilter) add(now time.Duration, k Key) {
	f.rotate(now)
	if f.keysInCurrent == f.maxKeys {
		f.rejectedKeys++
		return
	}
	f.keysInCurrent++
	f.current.Add(k.bytes())
}

func (f *overflowFilter) contains(now time.Duration, k Key) bool {
	f.rotate(now)
	b := k.bytes()
	return f.current.Test(b) || f.previous.Test(b)
}
