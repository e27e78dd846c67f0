package affinity

import (
	"reflect"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// stamped turns the engine's times into ones of the machine, and clocked back.
func stamped(t time.Duration) int64 { return int64(t) + 1_000_000 }
func clocked(n int64) time.Duration { return time.Duration(n - 1_000_000) }

// fixed are records of all kinds. The last two have the greatest and the least numbers that a record can hold.
func fixed() []Record {
	return []Record{
		{Kind: Began, Key: Key{0x0102030405060708, 0x1112131415161718}, At: 21 * time.Second, Pod: 0x31323334, Zone: 0x414243},
		{Kind: Cleared, Key: Key{0x0203040506070809, 0x1213141516171819}, At: 22 * time.Second, Pod: 2, Zone: 3},
		{Kind: EndedServed, Key: Key{0x030405060708090a, 0x131415161718191a}, At: 23 * time.Second, Pod: 4, Zone: 5},
		{Kind: EndedFailed, Key: Key{0x0405060708090a0b, 0x1415161718191a1b}, At: 24 * time.Second, Pod: 6, Zone: 7},
		{Kind: Began, Key: Key{1<<64 - 1, 1<<64 - 2}, At: 25 * time.Second, Pod: 1<<31 - 1, Zone: 1<<23 - 1},
		{Kind: Began, Key: Key{0, 1}, At: -26 * time.Second, Pod: -1, Zone: -1},
	}
}

func encoded(records []Record) (out []byte) {
	for _, r := range records {
		out = r.Append(out, stamped)
	}
	return out
}

func decoded(t *testing.T, data []byte) (records []Record) {
	t.Helper()
	for ; len(data) > 0; data = data[min(RecordSize, len(data)):] {
		r, err := DecodeRecord(data[:min(RecordSize, len(data))], clocked)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, r)
	}
	return records
}

func TestGoldenRecords(t *testing.T) {
	golden.Equal(t, "affinity/records", encoded(fixed()))
	if got := decoded(t, golden.Read(t, "affinity/records")); !reflect.DeepEqual(got, fixed()) {
		t.Errorf("the committed records read as %+v", got)
	}
}

// What a table hands over to be kept of each way that an attempt can end, and how another table takes it.
func TestGoldenRecordsOfATable(t *testing.T) {
	secret := Secret{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	table := New(Options{Most: 10, Window: 10 * time.Second, Tail: time.Minute})
	var kept []Record
	note := func(r Record, ok bool) {
		if ok {
			kept = append(kept, r)
		}
	}
	for i, key := range []string{"served", "failed", "never ran", "failed, then served", "not known"} {
		k, at := secret.Key(key), time.Duration(i+1)*time.Second
		note(table.Begin(at, k, i+11, i+21))
		switch key {
		case "served":
			note(table.Ended(at+1, k, Served))
		case "failed":
			note(table.Ended(at+1, k, Failed))
		case "never ran":
			note(table.NeverRan(at+1, k))
		case "failed, then served":
			note(table.Ended(at+1, k, Failed))
			note(table.Ended(at+2, k, Served))
		default:
			note(table.Ended(at+1, k, Unknown))
		}
	}
	golden.Equal(t, "affinity/records-of-a-table", encoded(kept))

	other := New(Options{Most: 10, Window: 10 * time.Second, Tail: time.Minute})
	other.Restore(8*time.Second, decoded(t, golden.Read(t, "affinity/records-of-a-table")))
	type known struct {
		Tie
		found   bool
		outcome Outcome
	}
	for key, want := range map[string]known{
		"served":              {Tie{Pod: 11, Zone: 21, Since: time.Second}, true, Served},
		"failed":              {Tie{Pod: 12, Zone: 22, Since: 2 * time.Second}, true, Failed},
		"never ran":           {},
		"failed, then served": {Tie{Pod: 14, Zone: 24, Since: 4 * time.Second}, true, Served},
		"not known":           {Tie{Pod: 15, Zone: 25, Since: 5 * time.Second}, true, Unknown},
	} {
		var got known
		got.Tie, got.found = other.Lookup(8*time.Second, secret.Key(key))
		if e := other.entries[secret.Key(key)]; e != nil {
			got.outcome = e.outcome
		}
		if got != want {
			t.Errorf("%q reads as %+v, want %+v", key, got, want)
		}
	}
}
