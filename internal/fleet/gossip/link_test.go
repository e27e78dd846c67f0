package gossip

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/dchest/siphash"
	"pgregory.net/rapid"
)

var keyOne, keyTwo = Key{1}, Key{2}

func only(k Key) Keys { return Keys{Seal: k, Open: []Key{k}} }

// numbers gives numbers that are never the same, in a test.
func numbers() func() uint64 {
	n := uint64(0)
	return func() uint64 { n++; return n * 0x9E3779B97F4A7C15 }
}

// Two agents talk over a network that loses, doubles, reorders and sends again what it has heard at any time, and start anew at any
// time: nothing is taken twice, nothing that was sent before the receiver started anew, nothing of a life of the sender after something
// of a later one, and what is sent gets through again once the network is in order.
func TestLinksAsAModel(t *testing.T) {
	type packet struct {
		to    int
		lives [2]int // of both, when it was sent
		text  []byte
	}
	rapid.Check(t, func(t *rapid.T) {
		random := numbers()
		now, lives, latest := time.Second, [2]int{}, [2]int{} // latest: the sender's life that each has taken something of
		links := [2]*Link{NewLink(0, 2, only(keyOne), random), NewLink(1, 2, only(keyOne), random)}
		var heard []packet
		taken := map[uint32]bool{}
		number := uint32(0)
		send := func(from int) packet {
			number++
			p := packet{1 - from, lives, links[from].Seal(Message{Kind: Ping, To: 1 - from, Number: number})}
			heard = append(heard, p)
			return p
		}
		var deliver func(p packet, answers bool) bool
		deliver = func(p packet, answers bool) bool {
			m, reply, err := links[p.to].Open(now, 1-p.to, p.text)
			if reply != nil {
				r := packet{1 - p.to, lives, reply}
				heard = append(heard, r)
				if answers {
					deliver(r, answers)
				}
			}
			if err != nil || m.Kind == Hello {
				return false
			}
			if taken[m.Number] {
				t.Fatalf("datagram %d was taken twice", m.Number)
			}
			if p.lives[p.to] != lives[p.to] || p.lives[1-p.to] < latest[p.to] {
				t.Fatalf("datagram %d is of lives %v, which are over", m.Number, p.lives)
			}
			latest[p.to] = p.lives[1-p.to]
			taken[m.Number] = true
			return true
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				deliver(send(rapid.IntRange(0, 1).Draw(t, "from")), rapid.Bool().Draw(t, "answers arrive"))
			},
			"send late": func(t *rapid.T) { send(rapid.IntRange(0, 1).Draw(t, "from")) },
			"again": func(t *rapid.T) {
				if len(heard) == 0 {
					t.Skip("nothing was sent")
				}
				deliver(heard[rapid.IntRange(0, len(heard)-1).Draw(t, "datagram")], rapid.Bool().Draw(t, "answers arrive"))
			},
			"start anew": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "agent")
				lives[i]++
				latest[i] = 0
				links[i] = NewLink(i, 2, only(keyOne), random)
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond },
			"in order": func(t *rapid.T) {
				for range 6 {
					now += time.Second
					deliver(send(0), true)
					deliver(send(1), true)
				}
				for from := range 2 {
					if now += time.Second; !deliver(send(from), true) {
						t.Fatalf("agent %d can't make itself heard", from)
					}
				}
			},
		})
	})
}

// Nobody without the key, with another's name or with a changed datagram is heard, and nobody hears more of one than it may send.
func TestWhoIsNotHeard(t *testing.T) {
	random := numbers()
	a, b := NewLink(0, 3, only(keyOne), random), NewLink(1, 3, only(keyOne), random)
	now := time.Second
	meet := func(a, b *Link) {
		_, hello, _ := b.Open(now, a.self, a.Seal(Message{Kind: Ping, To: b.self}))
		_, proof, _ := a.Open(now, b.self, hello)
		if _, _, err := b.Open(now, a.self, proof); err != nil || proof == nil {
			t.Fatal(err)
		}
	}
	meet(a, b)
	good := a.Seal(Message{Kind: Ping, To: 1, Number: 5, Updates: []MemberUpdate{{Alive, 2, 3, 0}}, Observations: []Observation{{1, 7, 9, time.Second}}})
	for i := range good {
		bad := bytes.Clone(good)
		bad[i] ^= 1
		if _, reply, err := b.Open(now, 0, bad); err == nil || reply != nil {
			t.Fatalf("byte %d is changed: %v", i, err)
		}
		now += 100 * time.Millisecond
	}
	if _, _, err := b.Open(now, 2, good); !errors.Is(err, ErrForged) {
		t.Errorf("from another's address: %v", err)
	}
	stranger := NewLink(0, 3, only(keyTwo), random)
	if _, _, err := b.Open(now, 0, stranger.Seal(Message{Kind: Ping, To: 1})); !errors.Is(err, ErrForged) {
		t.Errorf("with another key: %v", err)
	}
	m, _, err := b.Open(now, 0, good)
	if err != nil || m.Number != 5 || !reflect.DeepEqual(m.Updates, []MemberUpdate{{Alive, 2, 3, 0}}) || !reflect.DeepEqual(m.Observations, []Observation{{1, 7, 9, time.Second}}) {
		t.Errorf("%+v %v", m, err)
	}
	if _, _, err := b.Open(now, 0, good); !errors.Is(err, ErrStale) {
		t.Errorf("the same again: %v", err)
	}
	taken := 0
	for range 1000 {
		if _, _, err := b.Open(now, 0, a.Seal(Message{Kind: Ping, To: 1})); err == nil {
			taken++
		} else if !errors.Is(err, ErrRateLimited) {
			t.Fatal(err)
		}
	}
	if taken > mostAtOnce {
		t.Errorf("%d of a flood were taken", taken)
	}
	// Keys change: first all open both, then they seal with the new one, then the old one goes.
	both := Keys{Seal: keyOne, Open: []Key{keyOne, keyTwo}}
	for _, step := range []struct{ a, b Keys }{{both, only(keyOne)}, {both, both}, {Keys{keyTwo, both.Open}, both}, {only(keyTwo), Keys{keyTwo, both.Open}}, {only(keyTwo), only(keyTwo)}} {
		now += 10 * time.Second
		a.SetKeys(step.a)
		b.SetKeys(step.b)
		if _, _, err := b.Open(now, 0, a.Seal(Message{Kind: Ping, To: 1})); err != nil {
			t.Errorf("a gap while keys change: %v", err)
		}
	}
}

// While an agent that has started anew is asked for its proof, that of its life before, sent again, proves nothing.
func TestAnOldProofProvesNothing(t *testing.T) {
	random, now := numbers(), time.Second
	old, b := NewLink(0, 2, only(keyOne), random), NewLink(1, 2, only(keyOne), random)
	_, hello, _ := b.Open(now, 0, old.Seal(Message{Kind: Ping, To: 1}))
	_, proof, _ := old.Open(now, 1, hello)
	_, _, _ = b.Open(now, 0, proof)
	unheard := old.Seal(Message{Kind: Ping, To: 1, Number: 7})
	fresh := NewLink(0, 2, only(keyOne), random)
	now += time.Second
	_, hello, _ = b.Open(now, 0, fresh.Seal(Message{Kind: Ping, To: 1}))
	_, renewed, _ := fresh.Open(now, 1, hello)
	_, _, _ = b.Open(now, 0, renewed)
	now += time.Second
	_, _, _ = b.Open(now, 0, NewLink(0, 2, only(keyOne), random).Seal(Message{Kind: Ping, To: 1})) // whom b asks again
	_, _, _ = b.Open(now, 0, proof)
	if _, _, err := b.Open(now, 0, unheard); !errors.Is(err, ErrStale) {
		t.Errorf("a datagram of the life before: %v", err)
	}
}

// Of a later revision of the form what is known is read, and another form is not.
func TestVersionsOfMessages(t *testing.T) {
	text := func(version byte, kind Kind, more ...byte) []byte {
		b := append(Message{Kind: kind, From: 3, Incarnation: 4, Updates: []MemberUpdate{{Alive, 2, 3, 0}}}.append(nil, stamp{}), more...)
		b[0] = version
		return b
	}
	for _, c := range []struct {
		name    string
		text    []byte
		err     error
		rumours int
	}{
		{"this one", text(version, Ping), nil, 1},
		{"one before", text(form<<4|1, Ping), nil, 1},
		{"a later revision", text(version+1, Ping), nil, 1},
		{"with a record that is not known behind", text(version+1, Ping, 99, 1, 2), nil, 1},
		{"with a kind that is not known", text(version+1, Payload+1), nil, 0},
		{"such a kind of this revision", text(version, Payload+1), errMalformed, 0},
		{"no revision", text(form<<4, Ping), ErrUnsupportedFormat, 0},
		{"another form", text((form+1)<<4|1, Ping), ErrUnsupportedFormat, 0},
	} {
		if m, _, err := parse(c.text); !errors.Is(err, c.err) || err == nil && (m.From != 3 || m.Incarnation != 4 || len(m.Updates) != c.rumours) {
			t.Errorf("%s: %+v, %v", c.name, m, err)
		}
	}
}

// Whatever comes, it is read within bounds, and what is read is written the same.
func FuzzParse(f *testing.F) {
	f.Add(Message{Kind: Ping, From: 3, To: 4, Updates: []MemberUpdate{{Alive, 2, 3, 0}}, Observations: []Observation{{1, 7, 9, time.Second}}}.append(nil, stamp{1, 2, 3, 4}))
	f.Add(Message{Kind: Hello, challenge: 5, proof: 6}.append(nil, stamp{}))
	f.Add(append(Message{Kind: Leave}.append(nil, stamp{}), 9, 9, 9))
	f.Add(Message{Kind: Payload, Payload: []byte{1, 2, 3}}.append(nil, stamp{}))
	later := Message{Kind: Payload + 1, Updates: []MemberUpdate{{Alive, 2, 3, 0}}}.append(nil, stamp{})
	later[0]++
	f.Add(later)
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > MaxDatagramBytes {
			return
		}
		m, s, err := parse(b)
		if err != nil {
			return
		}
		if m.Kind > Payload { // of a later revision, which this one does not write
			if len(m.Updates)+len(m.Observations)+len(m.Payload) > 0 {
				t.Fatalf("of a kind that is not known %+v is read", m)
			}
			return
		}
		if len(m.Updates) > room/rumourSize+8 || len(m.Observations) > room/factSize+8 {
			t.Fatalf("%d rumours and %d facts of %d bytes", len(m.Updates), len(m.Observations), len(b))
		}
		again, s2, err := parse(m.append(nil, s))
		if err != nil || s2 != s || !reflect.DeepEqual(again, m) {
			t.Errorf("%+v became %+v, %v", m, again, err)
		}
	})
}

// BenchmarkCodes is what each of the codes weighed costs for a full datagram.
func BenchmarkCodes(b *testing.B) {
	text := make([]byte, MaxDatagramBytes-macSize)
	b.Run("blake2s", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			keyOne.code(text)
		}
	})
	b.Run("siphash", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			siphash.Hash128(1, 2, text)
		}
	})
	b.Run("hmac-sha256", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			h := hmac.New(sha256.New, keyOne[:])
			h.Write(text)
			h.Sum(nil)
		}
	})
}
