package loopback_test

import (
	"net"
	"testing"

	"appleledge/internal/besteffort"
	"appleledge/internal/harness/loopback"
)

// Many hold addresses while others take any free port: nobody gets what another holds, and the holder can listen, by TCP and by
// UDP, as often as he likes.
func TestAHeldAddressIsNobodyElses(t *testing.T) {
	held := map[string]bool{}
	for range 200 {
		h, err := loopback.Hold()
		if err != nil {
			t.Fatal(err)
		}
		defer h.Close()
		other, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer besteffort.Close(other)
		for _, addr := range []string{h.Addr(), h.Port(1), h.Port(2)} {
			if held[addr] {
				t.Fatalf("%s is held twice", addr)
			}
			held[addr] = true
			if c, err := net.Dial("tcp", addr); err == nil {
				besteffort.Close(c)
				t.Fatalf("somebody listens at %s", addr)
			}
			for range 2 {
				l, err := net.Listen("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				besteffort.Close(l)
				u, err := net.ListenPacket("udp", addr)
				if err != nil {
					t.Fatal(err)
				}
				besteffort.Close(u)
			}
		}
	}
}
