package fleetconfig

import (
	"fmt"
	"time"
)

// Bounds of a configuration. Check and Decode reject what exceeds them, so that neither memory nor the time to bind a request depends
// on who wrote the file.
const (
	MaxRoutes        = 4096
	MaxPools         = 1024
	MaxLimits        = 1024 // and as many deadlines
	MaxDrains        = 256
	MaxBytes         = 4 << 20 // of the JSON
	maxSelectorTerms = 16384   // in all selectors together
	maxNameBytes     = 64
)

// AllServersPool is the name of the pool of all servers. It always exists and cannot be defined.
const AllServersPool = "all"

// Config is a configuration. Its zero value is the empty one: every request goes to any server and nothing is limited. Once Normalize
// has been called the lists are in the order of names.
type Config struct {
	Pools     []Pool     `json:"pools,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	Limits    []Limit    `json:"limits,omitempty"`
	Drains    []Drain    `json:"drains,omitempty"`
	Deadlines []Deadline `json:"deadlines,omitempty"`
	Rollout   *Rollout   `json:"rollout,omitempty"` // nil: a change's drains come in force at once
	Watch     *Watch     `json:"watch,omitempty"`   // nil: see WatchSettings
}

// Pool is a named set of servers.
type Pool struct {
	Name string `json:"name"`
	Selector
}

// Route sends requests that meet all of its conditions to pools; an empty condition is met by every request. Of several routes that
// match, the one with the greatest Priority is taken, then the one with more conditions, then the one with the longer PathPrefix, then
// the one whose name comes first.
type Route struct {
	Name       string            `json:"name"`
	Priority   int               `json:"priority,omitempty"`
	Class      string            `json:"class,omitempty"`
	Tenant     string            `json:"tenant,omitempty"`
	PathPrefix string            `json:"path_prefix,omitempty"`
	Headers    map[string]string `json:"headers,omitempty"` // whole values, by canonical name
	To         []Target          `json:"to"`
}

// Target is a pool of a route with its weight: the pool gets the weight's share of the sum of weights. Requests with the same key go to
// the same pool.
type Target struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Limit bounds the requests of a class and tenant; an empty name stands for all of them together. A request above MaxInFlight or Rate
// is rejected before anything of it is sent.
type Limit struct {
	Name        string   `json:"name"`
	Class       string   `json:"class,omitempty"`
	Tenant      string   `json:"tenant,omitempty"`
	MaxInFlight *int     `json:"in_flight,omitempty"` // nil: no bound
	Rate        float64  `json:"rate,omitempty"`      // requests a second; 0: no bound
	Burst       int      `json:"burst,omitempty"`     // requests at once above the rate; at least 1 with a rate
	MaxAttempts int      `json:"attempts,omitempty"`  // for one request; 0: as the platform says
	RetryAfter  Duration `json:"come_back,omitempty"` // least Retry-After of rejected requests
}

// Drain takes servers out of service: they finish what they have and get no new requests.
type Drain struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"` // of the selected servers, above 0 and at most 1
	Selector
}

// Deadline shortens the time that requests of a class and tenant may take; an empty name stands for all.
type Deadline struct {
	Name   string   `json:"name"`
	Class  string   `json:"class,omitempty"`
	Tenant string   `json:"tenant,omitempty"`
	AtMost Duration `json:"at_most"` // since the request's arrival
}

// Rollout brings the drains of a change in force in steps.
type Rollout struct {
	Step float64  `json:"step"` // share of the servers that a change drains, at each step; above 0 and at most 1
	Wait Duration `json:"wait"` // between two steps, at the least
}

// Watch says how a change to this configuration is tested for harm.
type Watch struct {
	Duration    Duration `json:"for"`          // from the switch, or from the last step of a rollout
	FalseAlarms float64  `json:"false_alarms"` // the share of harmless changes that may be rolled back
}

// The defaults of a Watch.
const (
	DefaultWatchDuration = Duration(30 * time.Second)
	DefaultFalseAlarms   = 0.001
)

// WatchSettings returns the configuration's Watch, or the default one where it has none.
func (c *Config) WatchSettings() Watch {
	if c.Watch == nil {
		return Watch{Duration: DefaultWatchDuration, FalseAlarms: DefaultFalseAlarms}
	}
	return *c.Watch
}

// Duration is a time.Duration whose text is the one of time.ParseDuration, such as "400ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration; write a number and a unit, such as \"400ms\" or \"3s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// String returns the text that MarshalText writes.
func (d Duration) String() string { return time.Duration(d).String() }
