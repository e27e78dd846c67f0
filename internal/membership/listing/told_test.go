package listing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Of two lists one takes the place of the other at most, and none takes its own.
func TestOneOfTwoListsSupersedes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origin := rapid.Custom(func(t *rapid.T) Origin {
			o := Origin{Address: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"), Version: rapid.Int64Range(0, 3).Draw(t, "version")}
			o.AddressSince = time.Duration(rapid.IntRange(0, 3).Draw(t, "since"))
			if rapid.Bool().Draw(t, "answered") {
				o.AskedAt = time.Duration(rapid.IntRange(1, 9).Draw(t, "asked"))
				o.AnsweredAt = o.AskedAt + time.Duration(rapid.IntRange(0, 5).Draw(t, "took"))
			}
			return o
		})
		a, b := origin.Draw(t, "a"), origin.Draw(t, "b")
		if a.Supersedes(a) && a.AskedAt > a.AnsweredAt || a.Supersedes(b) && b.Supersedes(a) {
			t.Fatalf("both of %+v and %+v", a, b)
		}
	})
}

// told is a list of a model: what is in it, by a number that grows with each change.
type told struct {
	Origin
	content int
}

// Failure: a process of an upgrade did not know what another one had been told. Processes come and go, ask a discovery that changes, moves and
// starts anew with lower versions, and hand over what they have in any order. When all has been handed over, each has the newest list that
// any living one was told or had taken over.
func TestProcessesEndWithTheNewestListThatAnyWasTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, content, version, address, moved := time.Duration(1), 0, int64(10), "a", time.Duration(1)
		processes := map[int]*told{0: {}}
		lastProcess, newest := 0, -1
		merge := func(into *told, from told) {
			if from.AnsweredAt > 0 && from.Supersedes(into.Origin) {
				*into = from
			}
		}
		drawProcess := func(label string) *told {
			ids := []int{}
			for i := range lastProcess + 1 {
				if processes[i] != nil {
					ids = append(ids, i)
				}
			}
			return processes[rapid.SampledFrom(ids).Draw(t, label)]
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 5).Draw(t, "pause"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				content, version = content+1, version+1
			case 2: // a process is told
				p := drawProcess("asks")
				asked := now
				if rapid.Bool().Draw(t, "crosses a change") {
					content, version = content+1, version+1
				}
				now++
				*p = told{Origin{Address: address, AddressSince: moved, AskedAt: asked, AnsweredAt: now, Version: version}, content}
				newest = max(newest, content)
			case 3: // one hands over to another
				merge(drawProcess("to"), *drawProcess("from"))
			case 4: // one starts, and is given what all others have
				fresh := &told{}
				for i := range lastProcess + 1 {
					if processes[i] != nil {
						merge(fresh, *processes[i])
					}
				}
				lastProcess++
				processes[lastProcess] = fresh
			case 5: // discovery starts anew, or is another one
				content, version = content+1, 1
				if rapid.Bool().Draw(t, "moves") {
					address, moved = address+"'", now
				}
			case 6: // one is killed, when it has handed over
				if len(processes) > 1 {
					p := drawProcess("ends")
					for i, other := range processes {
						if merge(other, *p); other == p {
							delete(processes, i)
						}
					}
				}
			}
		}
		for _, into := range processes {
			for _, from := range processes {
				merge(into, *from)
			}
		}
		for i, p := range processes {
			if newest >= 0 && p.content != newest {
				t.Fatalf("process %d has content %d, the newest that was told is %d", i, p.content, newest)
			}
		}
	})
}
