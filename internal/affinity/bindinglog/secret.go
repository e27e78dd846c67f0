package bindinglog

import (
	"crypto/rand"
	"errors"
	"fmt"
	"path/filepath"

	"appleledge/internal/affinity"
	"appleledge/internal/atomicfile"
)

// LoadOrCreateSecret reads the installation's secret, or makes one where there is none. A damaged secret is an error and is not
// replaced: keys hashed with another one would look like new requests, and retries of them would run again.
func LoadOrCreateSecret(o Options) (s affinity.Secret, err error) {
	f := atomicfile.File{Path: filepath.Join(o.Dir, secretFileName), FS: o.FS}
	content, err := f.Load()
	if errors.Is(err, atomicfile.ErrNotFound) {
		if _, err := rand.Read(s[:]); err != nil {
			return s, err
		}
		return s, f.Save(s[:])
	}
	if err == nil && len(content) != len(s) {
		err = atomicfile.ErrCorrupt
	}
	if err != nil {
		return s, fmt.Errorf("the secret of ties: %w", err)
	}
	copy(s[:], content)
	return s, nil
}
