package listing

import (
	"slices"
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

// takeOver takes another process' list, if it is newer.
func (t *told) takeOver(from *told) {
	if from.AnsweredAt > 0 && from.Supersedes(t.Origin) {
		*t = *from
	}
}

// sharingModel is the processes of an agent, and a discovery that changes, moves and starts anew with lower versions.
type sharingModel struct {
	t         *rapid.T
	now       time.Duration
	content   int
	version   int64
	address   string
	moved     time.Duration
	processes []*told // those that live
	newest    int     // content that any process was told
}

func (m *sharingModel) draw(label string) *told {
	return rapid.SampledFrom(m.processes).Draw(m.t, label)
}

func (m *sharingModel) change() { m.content, m.version = m.content+1, m.version+1 }

// ask lets a process ask discovery, which may change meanwhile.
func (m *sharingModel) ask() {
	p, asked := m.draw("asks"), m.now
	if rapid.Bool().Draw(m.t, "crosses a change") {
		m.change()
	}
	m.now++
	*p = told{Origin{Address: m.address, AddressSince: m.moved, AskedAt: asked, AnsweredAt: m.now, Version: m.version}, m.content}
	m.newest = max(m.newest, m.content)
}

// restart begins a discovery that counts anew, at its address or at another one.
func (m *sharingModel) restart() {
	m.content, m.version = m.content+1, 1
	if rapid.Bool().Draw(m.t, "moves") {
		m.address, m.moved = m.address+"'", m.now
	}
}

// startProcess starts a process, which is given what all others have.
func (m *sharingModel) startProcess() {
	fresh := &told{}
	for _, p := range m.processes {
		fresh.takeOver(p)
	}
	m.processes = append(m.processes, fresh)
}

// endProcess ends a process that has handed over what it has, unless it is the last.
func (m *sharingModel) endProcess() {
	if len(m.processes) == 1 {
		return
	}
	ended := m.draw("ends")
	m.processes = slices.DeleteFunc(m.processes, func(p *told) bool { return p == ended })
	for _, p := range m.processes {
		p.takeOver(ended)
	}
}

// Failure: a process of an upgrade did not know what another one had been told. Processes come and go, ask, and hand over what they have in any
// order. When all has been handed over, each has the newest list that any was told.
func TestProcessesEndWithTheNewestListThatAnyWasTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &sharingModel{t: t, now: 1, version: 10, address: "a", moved: 1, processes: []*told{{}}}
		steps := []func(){m.change, m.ask, m.ask, m.restart, m.startProcess, m.endProcess, func() { m.draw("to").takeOver(m.draw("from")) }}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(1, 5).Draw(t, "pause"))
			rapid.SampledFrom(steps).Draw(t, "step")()
		}
		for _, into := range m.processes {
			for _, from := range m.processes {
				into.takeOver(from)
			}
		}
		for i, p := range m.processes {
			if p.content != m.newest {
				t.Fatalf("process %d has content %d, the newest that was told is %d", i, p.content, m.newest)
			}
		}
	})
}
