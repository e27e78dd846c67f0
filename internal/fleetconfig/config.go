// Package fleetconfig is what an installation states of its fleet in reviewed files: pools of servers, routes to them,
// limits, drains and deadlines. It holds the model, its checks, its content hash and the differences between two of them,
// and does no I/O: package hclfile reads the files, and agents are sent the model as JSON.
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
	"time"
)

// Bounds of a configuration. What goes over them is refused, so that neither memory nor the time to bind a request hangs on
// who wrote the file.
const (
	MaxRoutes  = 4096
	MaxPools   = 1024
	MaxLimits  = 1024
	MaxDrains  = 256
	mostNamed  = 16384 // words in all selectors
	MaxBytes   = 4 << 20
	longestKey = 64 // bytes of a name
)

// AllServersPool is the pool of all servers. It is always there and can't be defined.
const AllServersPool = "all"

// Config is a configuration. Its zero value is the empty one: every request goes to any server and nothing is limited. Lists
// stand in the order of names once Normalize has been called.
type Config struct {
	Pools     []Pool     `json:"pools,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	Limits    []Limit    `json:"limits,omitempty"`
	Drains    []Drain    `json:"drains,omitempty"`
	Deadlines []Deadline `json:"deadlines,omitempty"`
	Rollout   *Rollout   `json:"rollout,omitempty"`
	Watch     *Watch     `json:"watch,omitempty"`
}

// Pool is a named set of servers.
type Pool struct {
	Name string `json:"name"`
	Selector
}

// Route sends requests that fulfil all of its conditions to pools. Of several that fit, the one with the greatest Priority
// counts, then the one with more conditions, then the longer PathPrefix, then the name that comes first.
type Route struct {
	Name       string            `json:"name"`
	Priority   int               `json:"priority,omitempty"`
	Class      string            `json:"class,omitempty"`
	Tenant     string            `json:"tenant,omitempty"`
	PathPrefix string            `json:"path_prefix,omitempty"`
	Headers    map[string]string `json:"headers,omitempty"` // by canonical name: the whole value
	To         []Target          `json:"to"`
}

// Target is a pool of a route and its part of the route's requests, as a share of the sum of weights. Which one a request
// goes to hangs on its keys: repeats go the same way.
type Target struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Limit bounds the requests of a class and tenant; an empty one stands for all together. Who is over MaxInFlight or Rate is
// refused before anything is sent.
type Limit struct {
	Name        string   `json:"name"`
	Class       string   `json:"class,omitempty"`
	Tenant      string   `json:"tenant,omitempty"`
	MaxInFlight *int     `json:"in_flight,omitempty"` // requests at a time
	Rate        float64  `json:"rate,omitempty"`      // requests a second; 0: no limit
	Burst       int      `json:"burst,omitempty"`     // requests at once, on top of the rate
	MaxAttempts int      `json:"attempts,omitempty"`  // at the most, for one request; 0: as the platform says
	RetryAfter  Duration `json:"come_back,omitempty"` // when refused clients are told to return, at the least
}

// Drain takes servers out: they finish what they have and get nothing new.
type Drain struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"` // of the servers selected, above 0 and at most 1
	Selector
}

// Deadline shortens the time that requests of a class and tenant are worked on.
type Deadline struct {
	Name   string   `json:"name"`
	Class  string   `json:"class,omitempty"`
	Tenant string   `json:"tenant,omitempty"`
	AtMost Duration `json:"at_most"`
}

// Rollout takes servers out in steps: Step of those that a change drains at a time, the next Wait later.
type Rollout struct {
	Step float64  `json:"step"` // above 0 and at most 1
	Wait Duration `json:"wait"`
}

// Watch says how a change of this configuration is watched, from the switch on.
type Watch struct {
	Duration    Duration `json:"for"`          // after the last step
	FalseAlarms float64  `json:"false_alarms"` // the share of harmless changes that may be rolled back
}

// The watch where a configuration has no section for it.
const (
	DefaultWatchFor    = Duration(30 * time.Second)
	DefaultFalseAlarms = 0.001
)

// WatchSettings is the configuration's watch, or the default one.
func (c *Config) WatchSettings() Watch {
	if c.Watch == nil {
		return Watch{Duration: DefaultWatchFor, FalseAlarms: DefaultFalseAlarms}
	}
	return *c.Watch
}

// Duration is a duration that is written as Go's time.ParseDuration reads it.
type Duration time.Duration

// MarshalText writes the duration.
func (t Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(t).String()), nil }

// UnmarshalText reads a duration.
func (t *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration; write a number and a unit, such as \"400ms\" or \"3s\"", text)
	}
	*t = Duration(d)
	return nil
}

func (t Duration) String() string { return time.Duration(t).String() }

// Decode reads a configuration as JSON, strictly, and normalizes it. Its names are checked by Check.
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

// DecodeStrict reads one JSON value and nothing else, whose fields are all known.
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

// Normalize brings a configuration into the one form that its hash is made of: lists in the order of names, words of
// selectors sorted and once each.
func (c *Config) Normalize() {
	byName(c.Pools, func(p Pool) string { return p.Name })
	byName(c.Routes, func(r Route) string { return r.Name })
	byName(c.Limits, func(l Limit) string { return l.Name })
	byName(c.Drains, func(d Drain) string { return d.Name })
	byName(c.Deadlines, func(d Deadline) string { return d.Name })
	for i := range c.Pools {
		c.Pools[i].normalize()
	}
	for i := range c.Drains {
		c.Drains[i].normalize()
	}
	for i := range c.Routes {
		slices.SortStableFunc(c.Routes[i].To, func(a, b Target) int { return strings.Compare(a.Pool, b.Pool) })
	}
}

func byName[T any](list []T, name func(T) string) {
	slices.SortStableFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
}

// JSON is the configuration in its one form.
func (c *Config) JSON() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic("fleetconfig: " + err.Error()) // no type in it can fail, but for a number that Check refuses
	}
	return data
}

// Hash is the content hash of a normalized configuration: SHA-256 of its JSON, in hexadecimal.
func (c *Config) Hash() string {
	sum := sha256.Sum256(c.JSON())
	return hex.EncodeToString(sum[:])
}
