package golden

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Trace is the hash of what a decider decided in a seeded scenario, with counts and checkpoints by which a difference can be read.
// Decisions go in as plain numbers and strings, so that names may change and the hash may not.
type Trace struct {
	digest hash.Hash
	every  int
	lines  int
	line   []byte
	marks  []string
	counts map[string]int
}

// NewTrace returns an empty trace with a checkpoint after every so many decisions.
func NewTrace(every int) *Trace {
	return &Trace{digest: sha256.New(), every: every, counts: map[string]int{}}
}

// Add takes one decision with all that tells it from others. Floats count to their last bit.
func (t *Trace) Add(fields ...any) {
	l := t.line[:0]
	for _, f := range fields {
		switch v := f.(type) {
		case int:
			l = strconv.AppendInt(l, int64(v), 10)
		case time.Duration:
			l = strconv.AppendInt(l, int64(v), 10)
		case uint64:
			l = strconv.AppendUint(l, v, 10)
		case float64:
			l = strconv.AppendUint(l, math.Float64bits(v), 16)
		case bool:
			l = strconv.AppendBool(l, v)
		case string:
			l = strconv.AppendQuote(l, v)
		case []string:
			l = append(strconv.AppendBool(l, v == nil), strconv.Itoa(len(v))...)
			for _, s := range v {
				l = strconv.AppendQuote(l, s)
			}
		default:
			panic(fmt.Sprintf("a trace takes no %T", f))
		}
		l = append(l, ' ')
	}
	l = append(l, '\n')
	t.digest.Write(l)
	t.line = l
	if t.lines++; t.lines%t.every == 0 {
		t.marks = append(t.marks, fmt.Sprintf("after %d decisions %x", t.lines, t.digest.Sum(nil)))
	}
}

// Count counts something that has happened, under a name of the trace's own.
func (t *Trace) Count(name string) { t.counts[name]++ }

// CountIf counts it if it has.
func (t *Trace) CountIf(happened bool, name string) {
	if happened {
		t.counts[name]++
	}
}

// Text is the hash, the counts and the checkpoints, as they are committed.
func (t *Trace) Text() []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "sha256 %x\n\n", t.digest.Sum(nil))
	names := make([]string, 0, len(t.counts))
	for name := range t.counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&out, "%7d %s\n", t.counts[name], name)
	}
	fmt.Fprintf(&out, "\n%s\n", strings.Join(t.marks, "\n"))
	return []byte(out.String())
}

// Occurred reports an error for each name that none of the traces has counted: a rule that never fires proves nothing.
func Occurred(t testing.TB, traces []*Trace, names ...string) {
	t.Helper()
	for _, name := range names {
		n := 0
		for _, trace := range traces {
			n += trace.counts[name]
		}
		if n == 0 {
			t.Errorf("in no trace: %s", name)
		}
	}
}

// Random is the generator of the traces' scenarios (splitmix64): none of a library or of the code under test, which may change.
type Random uint64

// Next returns the next number.
func (r *Random) Next() uint64 {
	*r += 0x9E3779B97F4A7C15
	z := uint64(*r)
	z = (z ^ z>>30) * 0xBF58476D1CE4E5B9
	z = (z ^ z>>27) * 0x94D049BB133111EB
	return z ^ z>>31
}

// Below returns a number from 0 to n-1.
func (r *Random) Below(n int) int { return int(r.Next() % uint64(n)) }

// Between returns a number from one to the other, both included.
func (r *Random) Between(from, to int) int { return from + r.Below(to-from+1) }

// Share returns a number from 0 to 1.
func (r *Random) Share() float64 { return float64(r.Next()>>11) / (1 << 53) }

// Chance reports true with this probability.
func (r *Random) Chance(p float64) bool { return r.Share() < p }

// Millis returns a time between two numbers of milliseconds.
func (r *Random) Millis(from, to int) time.Duration {
	return time.Duration(r.Between(from*1000, to*1000)) * time.Microsecond
}
