package gossip

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// goldenMessages are a message of each kind with all that the kind carries, by the name of its file.
func goldenMessages() (names []string, messages map[string]Message) {
	updates := []MemberUpdate{
		{State: Alive, Member: 0x1112, Incarnation: 0x13141516, Reporter: 0x1718},
		{State: Suspect, Member: 0x2122, Incarnation: 0x23242526, Reporter: 0x2728},
		{State: Dead, Member: 0x3132, Incarnation: 0x33343536, Reporter: 0x3738},
		{State: Left, Member: 0x4142, Incarnation: 0x43444546, Reporter: 0x4748},
	}
	observations := []Observation{
		{Kind: 1, ID: 0x5152535455565758, Value: 0x595a5b5c, Age: 12300 * time.Millisecond},
		{Kind: 2, ID: 0x6162636465666768, Value: 0x696a6b6c, Age: 6553 * time.Second},
	}
	body := make([]byte, MaxPayloadBytes)
	for i := range body {
		body[i] = byte(i + 1)
	}
	full := func(kind Kind, n uint32) Message {
		return Message{Kind: kind, From: 0x0102, To: 0x0304, Incarnation: 0x71727300 + n, Number: 0x81828300 + n, Target: 0x9100 + int(n),
			Updates: updates, Observations: observations}
	}
	hello := Message{Kind: Hello, From: 0x0102, To: 0x0304, Incarnation: 0xa1a2a3a4, Number: 0xb1b2b3b4, Target: 0xc1c2,
		challenge: 0xd1d2d3d4d5d6d7d8, proof: 0xe1e2e3e4e5e6e7e8}
	share := full(Payload, 6)
	share.Updates, share.Observations, share.Payload = nil, nil, body
	return []string{"hello", "ping", "ack", "ping-req", "nack", "farewell", "share"}, map[string]Message{
		"hello": hello, "ping": full(Ping, 1), "ack": full(Ack, 2), "ping-req": full(PingReq, 3), "nack": full(Nack, 4),
		"farewell": full(Leave, 5), "share": share}
}

// goldenLinks are two links that have proved their sessions to each other, with fixed sessions and keys.
func goldenLinks() (from, to *Link) {
	var key, other Key
	for i := range key {
		key[i], other[i] = byte(i+1), byte(200-i)
	}
	from = NewLink(0x0102, 0x0305, Keys{Seal: key, Open: []Key{key}}, func() uint64 { return 0x0a0b0c0d0e0f1011 })
	to = NewLink(0x0304, 0x0305, Keys{Seal: other, Open: []Key{other, key}}, func() uint64 { return 0x1a1b1c1d1e1f2021 })
	from.peers[0x0304].claimedSession, from.peers[0x0304].sentSequence = to.session, 0x31323300
	to.peers[0x0102].provenSession = from.session
	return from, to
}

// Datagrams of each kind have the committed bytes, and these are read as the messages they were made of.
func TestGoldenDatagrams(t *testing.T) {
	from, to := goldenLinks()
	names, messages := goldenMessages()
	for _, name := range names {
		golden.Equal(t, "fleet/peer/"+name+".bin", from.Seal(messages[name]))
	}
	for i, name := range names {
		m, text := messages[name], golden.Read(t, "fleet/peer/"+name+".bin")
		got, s, err := parseMessage(text[:len(text)-macBytes])
		want := linkHeader{keyID: from.keyID, senderSession: 0x0a0b0c0d0e0f1011, receiverSession: 0x1a1b1c1d1e1f2021, sequence: 0x31323301 + uint32(i)}
		if err != nil || !reflect.DeepEqual(got, m) || s != want {
			t.Errorf("%s is read as %+v, %+v, %v", name, got, s, err)
		}
		if m.Kind == Hello {
			continue
		}
		if got, reply, err := to.Open(time.Second, 0x0102, text); err != nil || reply != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%s is opened as %+v, %x, %v", name, got, reply, err)
		}
	}
}

// A Hello is answered with the committed bytes, and so is a datagram of a session that isn't proved.
func TestGoldenHelloAnswers(t *testing.T) {
	for name, file := range map[string]string{"answer-to-hello": "hello", "hello-to-stale": "ping"} {
		_, to := goldenLinks()
		to.peers[0x0102] = linkPeer{sentSequence: 0x41424300}
		_, reply, _ := to.Open(time.Second, 0x0102, golden.Read(t, "fleet/peer/"+file+".bin"))
		golden.Equal(t, "fleet/peer/"+name+".bin", reply)
	}
}

// The words for states, the numbers of kinds and the bytes that name keys never change.
func TestGoldenNumbers(t *testing.T) {
	var b bytes.Buffer
	for s := Unknown; s <= Left; s++ {
		fmt.Fprintf(&b, "state %d %s\n", s, s)
	}
	fmt.Fprintf(&b, "kinds %d\n", []int{int(Hello), int(Ping), int(Ack), int(PingReq), int(Nack), int(Leave), int(Payload)})
	for i := range 4 {
		fmt.Fprintf(&b, "key %d %02x\n", i, Key{byte(i)}.id())
	}
	golden.Equal(t, "fleet/peer/words.txt", b.Bytes())
}
