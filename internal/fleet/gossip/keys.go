package gossip

import (
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"golang.org/x/crypto/blake2s"
)

// Key authenticates the agents of one installation to each other.
type Key [32]byte

// Keys are the keys in force: two at a time while keys change.
type Keys struct {
	Seal Key   // of the datagrams that are sent
	Open []Key // of the datagrams that are accepted, Seal among them
}

// id returns the byte by which a datagram names its key. It says nothing of the key itself.
func (k Key) id() byte {
	sum := blake2s.Sum256(append([]byte("appleledge key name "), k[:]...))
	return sum[0]
}

// mac returns the authentication code of a datagram: keyed BLAKE2s (RFC 7693) of 128 bits.
func (k Key) mac(text []byte) []byte {
	h, err := blake2s.New128(k[:])
	if err != nil { // only for a key of another length
		panic(err)
	}
	h.Write(text)
	return h.Sum(nil)
}

// Reseal returns a datagram whose text, all but its authentication code, was changed by someone who has the key. Tests use it to act as an
// agent of another version, or as a faulty one. A datagram that is too short is returned as it is.
func (k Key) Reseal(datagram []byte, change func(text []byte) []byte) []byte {
	if len(datagram) < headerBytes+macBytes {
		return datagram
	}
	text := change(append([]byte(nil), datagram[:len(datagram)-macBytes]...))
	return append(text, k.mac(text)...)
}

// ReadKeys reads a file of one or two lines with a key each, of 64 hexadecimal digits; empty lines and those that begin with # are
// skipped. The first key seals and both open, so that keys change without a gap: the new key is appended on all agents, then put first on
// all, then the old one is removed.
func ReadKeys(path string) (Keys, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Keys{}, err
	}
	var keys Keys
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var k Key
		if len(line) != 2*len(k) {
			return Keys{}, fmt.Errorf("%s:%d: a key has %d hexadecimal digits, not %d", path, number, 2*len(k), len(line))
		}
		if _, err := hex.Decode(k[:], []byte(line)); err != nil {
			return Keys{}, fmt.Errorf("%s:%d: a key has hexadecimal digits alone", path, number)
		}
		keys.Open = append(keys.Open, k)
	}
	if len(keys.Open) == 0 || len(keys.Open) > 2 {
		return Keys{}, fmt.Errorf("%s: it has %d keys; one, or two while they change", path, len(keys.Open))
	}
	keys.Seal = keys.Open[0]
	return keys, nil
}
