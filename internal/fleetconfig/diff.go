package fleetconfig

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// Verb says what becomes of an object.
type Verb string

// The verbs. Their texts are part of plans.
const (
	Create Verb = "create"
	Update Verb = "update"
	Delete Verb = "delete"
)

// Change is one object that differs between two configurations. Its JSON is part of plans.
type Change struct {
	Verb   Verb            `json:"verb"`
	Kind   string          `json:"kind"`             // such as "route"
	Name   string          `json:"name,omitempty"`   // empty for kinds of which there is one object
	Before json.RawMessage `json:"before,omitempty"` // the object; nil if it is created
	After  json.RawMessage `json:"after,omitempty"`  // the object; nil if it is deleted
}

// kinds are the kinds of objects, in the order in which Diff lists them.
var kinds = []string{"pool", "route", "limit", "drain", "deadline", "rollout", "watch"}

// Diff returns what differs between two normalized configurations, in the order of kinds and names.
func Diff(from, to *Config) (changes []Change) {
	before, after := from.objects(), to.objects()
	keys := make([]objectKey, 0, len(before)+len(after))
	for k := range before {
		keys = append(keys, k)
	}
	for k := range after {
		if before[k] == nil {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b objectKey) int {
		if a.kind != b.kind {
			return slices.Index(kinds, a.kind) - slices.Index(kinds, b.kind)
		}
		return strings.Compare(a.name, b.name)
	})
	for _, k := range keys {
		old, current := before[k], after[k]
		verb := Update
		switch {
		case old == nil:
			verb = Create
		case current == nil:
			verb = Delete
		case bytes.Equal(old, current):
			continue
		}
		changes = append(changes, Change{verb, k.kind, k.name, old, current})
	}
	return changes
}

type objectKey struct{ kind, name string }

// objects returns a configuration's objects as JSON.
func (c *Config) objects() map[objectKey]json.RawMessage {
	out := map[objectKey]json.RawMessage{}
	put := func(kind, name string, object any) {
		data, err := json.Marshal(object)
		if err != nil {
			panic("fleetconfig: " + err.Error()) // as in JSON
		}
		out[objectKey{kind, name}] = data
	}
	for _, p := range c.Pools {
		put("pool", p.Name, p)
	}
	for _, r := range c.Routes {
		put("route", r.Name, r)
	}
	for _, l := range c.Limits {
		put("limit", l.Name, l)
	}
	for _, d := range c.Drains {
		put("drain", d.Name, d)
	}
	for _, d := range c.Deadlines {
		put("deadline", d.Name, d)
	}
	if c.Rollout != nil {
		put("rollout", "", c.Rollout)
	}
	if c.Watch != nil {
		put("watch", "", c.Watch)
	}
	return out
}
