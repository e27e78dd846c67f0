package affinity

import (
	"reflect"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// stamped turns the engine's times into ones of the machine, and fromStamp back.
func toStamp(t time.Duration) int64   { return int64(t) + 1_000_000 }
func fromStamp(n int64) time.Duration { return time.Duration(n - 1_000_000) }

// fixed are records of all kinds. The last two have the greatest and the least numbers that a record can hold.
func goldenRecords() []Record {
	return []Record{
		{Kind: RecordBound, Key: Key{0x0102030405060708, 0x1112131415161718}, At: 21 * time.Second, Pod: 0x31323334, Zone: 0x414243},
		{Kind: RecordUnbound, Key: Key{0x0203040506070809, 0x1213141516171819}, At: 22 * time.Second, Pod: 2, Zone: 3},
		{Kind: RecordServed, Key: Key{0x030405060708090a, 0x131415161718191a}, At: 23 * time.Second, Pod: 4, Zone: 5},
		{Kind: RecordFailed, Key: Key{0x0405060708090a0b, 0x1415161718191a1b}, At: 24 * time.Second, Pod: 6, Zone: 7},
		{Kind: RecordBound, Key: Key{1<<64 - 1, 1<<64 - 2}, At: 25 * time.Second, Pod: 1<<31 - 1, Zone: 1<<23 - 1},
		{Kind: RecordBound, Key: Key{0, 1}, At: -26 * time.Second, Pod: -1, Zone: -1},
	}
}

func encodeAll(records []Record) (out []byte) {
	for _, r := range records {
		out = r.Append(out, toStamp)
	}
	return out
}

func decodeAll(t *testing.T, data []byte) (records []Record) {
	t.Helper()
	for ; len(data) > 0; data = data[min(RecordSize, len(data)):] {
		r, err := DecodeRecord(data[:min(RecordSize, len(data))], fromStamp)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, r)
	}
	return records
}

// Records of all kinds, with the greatest and least numbers that fit, are written and read as the committed bytes say.
func TestGoldenRecords(t *testing.T) {
	golden.Equal(t, "affinity/records", encodeAll(goldenRecords()))
	if got := decodeAll(t, golden.Read(t, "affinity/records")); !reflect.DeepEqual(got, goldenRecords()) {
		t.Errorf("the committed records read as %+v", got)
	}
}

// One key ends in each of the ways that an attempt can. The records of the table are the committed ones, and another table restores them
// to the same bindings.
func TestGoldenRecordsOfTableOperations(t *testing.T) {
	secret := Secret{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	table := New(Options{MaxEntries: 10, DedupWindow: 10 * time.Second, LateRetryPeriod: time.Minute})
	var kept []Record
	note := func(r Record, ok bool) {
		if ok {
			kept = append(kept, r)
		}
	}
	for i, key := range []string{"served", "failed", "never ran", "failed, then served", "not known"} {
		k, at := secret.Key(key), time.Duration(i+1)*time.Second
		note(table.Bind(at, k, i+11, i+21))
		switch key {
		case "served":
			note(table.Complete(at+1, k, OutcomeServed))
		case "failed":
			note(table.Complete(at+1, k, OutcomeFailed))
		case "never ran":
			note(table.Unbind(at+1, k))
		case "failed, then served":
			note(table.Complete(at+1, k, OutcomeFailed))
			note(table.Complete(at+2, k, OutcomeServed))
		default:
			note(table.Complete(at+1, k, OutcomeUnknown))
		}
	}
	golden.Equal(t, "affinity/records-of-a-table", encodeAll(kept))

	other := New(Options{MaxEntries: 10, DedupWindow: 10 * time.Second, LateRetryPeriod: time.Minute})
	other.Restore(8*time.Second, decodeAll(t, golden.Read(t, "affinity/records-of-a-table")))
	type known struct {
		Binding
		found   bool
		outcome Outcome
	}
	for key, want := range map[string]known{
		"served":              {Binding{Pod: 11, Zone: 21, Since: time.Second}, true, OutcomeServed},
		"failed":              {Binding{Pod: 12, Zone: 22, Since: 2 * time.Second}, true, OutcomeFailed},
		"never ran":           {},
		"failed, then served": {Binding{Pod: 14, Zone: 24, Since: 4 * time.Second}, true, OutcomeServed},
		"not known":           {Binding{Pod: 15, Zone: 25, Since: 5 * time.Second}, true, OutcomeUnknown},
	} {
		var got known
		got.Binding, got.found = other.Lookup(8*time.Second, secret.Key(key))
		if e := other.entries[secret.Key(key)]; e != nil {
			got.outcome = e.outcome
		}
		if got != want {
			t.Errorf("%q reads as %+v, want %+v", key, got, want)
		}
	}
}
