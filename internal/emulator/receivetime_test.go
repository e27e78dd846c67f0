package emulator

import (
	"net"
	"testing"
	"time"

	"appleledge/internal/besteffort"
)

// A process that reads late must not take a request for a later one: the time of what is read is that of its receipt.
func TestReadTellsWhenTheKernelReceived(t *testing.T) {
	l, err := listenStamped("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(l)
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(client)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(accepted)
	server, err := newStampedConn(accepted)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := server.receivedAt(); ok {
		t.Error("a time of receipt before anything was read")
	}
	const clockTolerance = time.Millisecond // between the two clocks that are compared
	for range 3 {
		before := time.Now()
		if _, err := client.Write([]byte("bytes")); err != nil {
			t.Fatal(err)
		}
		after := time.Now()
		for time.Since(after) < 10*clockTolerance { // read late
		}
		if _, err := server.Read(make([]byte, 16)); err != nil {
			t.Fatal(err)
		}
		at, ok := server.receivedAt()
		if !ok || at.Before(before.Add(-clockTolerance)) || at.After(after.Add(clockTolerance)) {
			t.Errorf("received %v after the write began, which took %v", at.Sub(before), after.Sub(before))
		}
	}
}

// A repeat is told by when it had come, in whichever order busy servers read it and the first, and not by when it was read.
func TestPodTellsRepeatsByTheTimeOfReceipt(t *testing.T) {
	const window = 2 * time.Second
	for _, c := range []struct {
		name          string
		first, second time.Duration // since the first was received, when each is read
		apart         time.Duration // between the two receipts
		runs          int
	}{
		{"the second is read after the window", 0, 5 * time.Second, 1500 * time.Millisecond, 1},
		{"the second is read first", 4 * time.Second, 3 * time.Second, 1500 * time.Millisecond, 1},
		{"the second is received after the window", 0, window, window, 2},
		{"the first is read as late as the second", 5 * time.Second, 5 * time.Second, window, 2},
	} {
		ledger := NewLedger()
		p := NewPod(0, window, ledger)
		claim := func(read, received time.Duration) {
			p.claim(read, Request{IdempotencyKey: "k", ReadDelay: read - received}, "s")
		}
		if c.first <= c.second {
			claim(c.first, 0)
			claim(c.second, c.apart)
		} else {
			claim(c.second, c.apart)
			claim(c.first, 0)
		}
		if n := len(ledger.Effects()); n != c.runs {
			t.Errorf("%s: ran %d times, not %d", c.name, n, c.runs)
		}
	}
}
