package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"appleledge/internal/fleetconfig"
)

// Format is the version of a plan's format. Decode rejects a greater one.
const Format = 1

// MaxBytes bounds a plan's JSON: the configuration, and an entry for each server.
const MaxBytes = 16 << 20

// Plan is what a change would do, and what that rests on. It is not changed after Make: the order of the fields and their JSON keys
// are covered by the checksum.
type Plan struct {
	Format        int                  `json:"format"`
	Agent         string               `json:"agent"`
	BaseNumber    uint64               `json:"base_number"` // of the generation that the change starts from
	BaseHash      string               `json:"base_hash"`
	TargetHash    string               `json:"hash"` // of Config
	Config        json.RawMessage      `json:"config"`
	CreatedUnixMS int64                `json:"made_unix_ms"` // in milliseconds since the Unix epoch
	Changes       []fleetconfig.Change `json:"changes"`
	Flags         []Flag               `json:"flags"`
	Effect        Effect               `json:"effect"`
	ServerFacts   []fleetconfig.Server `json:"facts"` // the servers that the effect rests on, sorted by id
	Checksum      string               `json:"sum"`   // SHA-256 of all the rest, in hexadecimal
}

// Flag is something that whoever approves the plan should know first.
type Flag struct {
	Kind string `json:"kind"` // one of the Flag constants
	Text string `json:"text"` // for people
}

// Effect is what the change does to the fleet as it was when the plan was made.
type Effect struct {
	Drains   []string      `json:"drains"`  // ids that get no new requests any more
	Returns  []string      `json:"returns"` // ids that do again
	Capacity Capacity      `json:"capacity"`
	Kinds    []Capacity    `json:"kinds"`
	Zones    []Capacity    `json:"zones"`
	Pods     []Capacity    `json:"pods"`
	Routes   []RouteEffect `json:"routes"` // in the order in which they are matched
	Limits   []LimitEffect `json:"limits"`
	Steps    []RolloutStep `json:"steps"`
}

// Capacity counts the servers of a kind, zone or pod that get requests, and their weights, before and after the change.
type Capacity struct {
	Name         string  `json:"name,omitempty"`
	Servers      int     `json:"servers"`
	ServersAfter int     `json:"servers_after"`
	Weight       float64 `json:"weight"`
	WeightAfter  float64 `json:"weight_after"`
}

// RouteEffect is where a route leads after the change.
type RouteEffect struct {
	Route   string        `json:"route"`
	Verb    string        `json:"verb,omitempty"` // of the route's change, if it has one
	Targets []TargetShare `json:"to"`
}

// TargetShare is the part of a route's requests that goes to a pool.
type TargetShare struct {
	Pool    string  `json:"pool"`
	Share   float64 `json:"part"`    // from 0 to 1
	Servers int     `json:"servers"` // of the pool that get requests after the change
}

// LimitEffect is what a limit that is new or changed would have done to the last minute's requests.
type LimitEffect struct {
	Limit    string  `json:"limit"`
	Arrived  float64 `json:"came"`
	Rejected float64 `json:"refused"` // an estimate
}

// RolloutStep is a step of a rollout.
type RolloutStep struct {
	DrainedServers int     `json:"out"`     // in all steps so far
	AfterSeconds   float64 `json:"after_s"` // since the switch, at the earliest
}

// Errors of a plan that cannot be used.
var (
	ErrAltered     = errors.New("the plan was altered after it was made")
	ErrNewerFormat = errors.New("the plan is of a newer form; use the program that made it")
	ErrOtherAgent  = errors.New("the plan was made for another agent")
	ErrOutdated    = errors.New("what the plan rests on has moved; make a new one")
)

// Decode reads a plan from JSON. The error is ErrAltered where it is not as it was made, and ErrNewerFormat where a newer program made
// it.
func Decode(data []byte) (*Plan, error) {
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("a plan has %d bytes at most", MaxBytes)
	}
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	if head.Format > Format {
		return nil, ErrNewerFormat
	}
	p := &Plan{}
	if err := fleetconfig.DecodeStrict(bytes.NewReader(data), p); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	if p.checksum() != p.Checksum {
		return nil, ErrAltered
	}
	return p, nil
}

// checksum returns the hash of all but the checksum itself.
func (p *Plan) checksum() string {
	unsummed := *p
	unsummed.Checksum = ""
	data, err := json.Marshal(unsummed)
	if err != nil {
		panic("plan: " + err.Error()) // every field can be written
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// TargetConfig returns the configuration that the plan leads to.
func (p *Plan) TargetConfig() (*fleetconfig.Config, error) {
	c, err := fleetconfig.Decode(p.Config)
	if err != nil {
		return nil, err
	}
	if c.Hash() != p.TargetHash {
		return nil, ErrAltered
	}
	return c, nil
}
