package fleetconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Decode reads a configuration from JSON, strictly, and normalizes it. It does not Check it.
func Decode(data []byte) (*Config, error) {
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("the configuration has %d bytes, %d at most", len(data), MaxBytes)
	}
	c := &Config{}
	if err := DecodeStrict(bytes.NewReader(data), c); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c.Normalize()
	return c, nil
}

// DecodeStrict reads one JSON value into the value that into points to. An unknown key or anything behind the value is an error: a
// misspelt key would otherwise be ignored silently.
func DecodeStrict(r io.Reader, into any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("something follows it")
	}
	return nil
}

// Normalize brings a configuration into the form that its hash is made of: lists in the order of names, the terms of selectors sorted
// and once each. Two files that mean the same then have the same hash.
func (c *Config) Normalize() {
	sortByName(c.Pools, func(p Pool) string { return p.Name })
	sortByName(c.Routes, func(r Route) string { return r.Name })
	sortByName(c.Limits, func(l Limit) string { return l.Name })
	sortByName(c.Drains, func(d Drain) string { return d.Name })
	sortByName(c.Deadlines, func(d Deadline) string { return d.Name })
	for i := range c.Pools {
		c.Pools[i].normalize()
	}
	for i := range c.Drains {
		c.Drains[i].normalize()
	}
	for i := range c.Routes {
		sortByName(c.Routes[i].To, func(t Target) string { return t.Pool })
	}
}

func sortByName[T any](list []T, name func(T) string) {
	slices.SortStableFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
}

// JSON returns the configuration's JSON, on one line.
func (c *Config) JSON() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic("fleetconfig: " + err.Error()) // only a number that Check rejects cannot be written
	}
	return data
}

// Hash returns the content hash of a normalized configuration: the SHA-256 of its JSON, in hexadecimal.
func (c *Config) Hash() string {
	sum := sha256.Sum256(c.JSON())
	return hex.EncodeToString(sum[:])
}
