package coalesce

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"hash"
	"sync"

	"golang.org/x/crypto/blake2b"
)

// Digest stands for the content of a request: requests with the same one get the same answer. It is long enough that nobody can find two
// requests that share one.
type Digest [blake2b.Size256]byte

// Identity makes digests, by BLAKE2b-256 (RFC 7693) under a random key: without the key nobody can tell what a digest stands for, or prepare
// one. It is safe for concurrent use.
type Identity struct{ hashes sync.Pool }

// NewIdentity draws a key.
func NewIdentity() (*Identity, error) {
	var key [blake2b.Size256]byte
	if _, err := rand.Read(key[:]); err != nil {
		return nil, fmt.Errorf("drawing the key of digests: %w", err)
	}
	if _, err := blake2b.New256(key[:]); err != nil {
		return nil, fmt.Errorf("making digests: %w", err)
	}
	return &Identity{hashes: sync.Pool{New: func() any {
		h, err := blake2b.New256(key[:])
		if err != nil { // it was tried above
			panic(err)
		}
		return h
	}}}, nil
}

// Digest returns the digest of a list of parts. Each counts with its length, so that no two lists share one by where the parts end.
func (id *Identity) Digest(parts ...string) (d Digest) {
	h := id.hashes.Get().(hash.Hash)
	defer id.hashes.Put(h)
	h.Reset()
	var length [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write([]byte(p))
	}
	h.Sum(d[:0])
	return d
}
