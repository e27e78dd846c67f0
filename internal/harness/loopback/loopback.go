// Package loopback gives out addresses of the loopback that are their holder's own. A port that was free is nobody's: until a
// process that is started with it listens there, any other may be given it.
package loopback

import (
	"fmt"
	"net"
	"net/netip"

	"appleledge/internal/besteffort"
)

// Host is an address in 127/8 with all its ports, TCP and UDP, that no other holder on the machine has. Nothing listens there
// until the holder, or a process that it starts, does.
type Host struct {
	claim net.Listener // of a port of 127.0.0.1, which the kernel gives once; the address is made of its number
	addr  netip.AddrPort
}

// Hold takes a host until it is let go.
func Hold() (*Host, error) {
	claim, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("an address of one's own: %w", err)
	}
	port := uint16(claim.Addr().(*net.TCPAddr).Port)
	return &Host{claim, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, network, byte(port >> 8), byte(port)}), port)}, nil
}

// network is the second byte of all hosts: none of them is in 127.0.0.0/16, where ports that the kernel chooses are.
const network = 77

// Addr is the host with a port.
func (h *Host) Addr() string { return h.addr.String() }

// Port is the host with another port than Addr's, counted from 1.
func (h *Host) Port(n int) string {
	return netip.AddrPortFrom(h.addr.Addr(), uint16(1024+(int(h.addr.Port())-1024+n)%(1<<16-1024))).String()
}

// Close lets the host go.
func (h *Host) Close() { besteffort.Close(h.claim) }
