package requesthead

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// Rules are the settings that requests are checked against. They are immutable: changed settings make new Rules.
type Rules struct {
	Classes     []balancer.Class
	Tenants     []string // names, indexed by the balancer's tenant numbers; empty: tenants are not checked
	MaxAttempts int      // of a request; 0: the balancer's own limit
	Version     int      // of the platform settings that they were made of

	// Previous are the rules that these replaced. Before PreviousUntil, on the engine's clock, a request that matches its
	// class only under Previous is checked under Previous, and no request has more attempts than either allows.
	Previous      *Rules
	PreviousUntil time.Duration
}

// ActiveRules are the rules in force, which may be replaced while requests are checked. It is safe for concurrent use. Replace
// must have been called before any other method.
type ActiveRules struct{ rules atomic.Pointer[Rules] }

// Replace puts rules in force. Requests that are being checked finish under the rules before.
func (a *ActiveRules) Replace(r Rules) { a.rules.Store(&r) }

// Check checks a request against the rules in force, as Rules.Check does.
func (a *ActiveRules) Check(h Head, began time.Duration) (*engine.Call, time.Duration, error) {
	return a.rules.Load().Check(h, began)
}

// MaxDeadline returns the longest deadline of the classes that are not retired, under the rules in force or any before.
func (a *ActiveRules) MaxDeadline() (longest time.Duration) {
	for r := a.rules.Load(); r != nil; r = r.Previous {
		for _, c := range r.Classes {
			if !c.Retired {
				longest = max(longest, c.Deadline)
			}
		}
	}
	return longest
}

// LatencyObjective returns the longest latency objective of the classes that are not retired.
func (a *ActiveRules) LatencyObjective() (longest time.Duration) {
	for _, c := range a.rules.Load().Classes {
		if !c.Retired {
			longest = max(longest, c.LatencyObjective)
		}
	}
	return longest
}

// Check checks a request that began at that time on the engine's clock. It returns the call, without payload, transport
// and responder, and the client's timeout. The error is a BadRequestError.
func (rules Rules) Check(h Head, began time.Duration) (*engine.Call, time.Duration, error) {
	if rules.Previous == nil || began >= rules.PreviousUntil {
		return rules.check(h, began)
	}
	attempts := min(rules.MaxAttempts, rules.Previous.MaxAttempts)
	applied, other := &rules, rules.Previous
	if !rules.matchesClassEffect(h) && rules.Previous.matchesClassEffect(h) {
		applied, other = other, applied
	}
	call, timeout, err := applied.check(h, began)
	if err != nil {
		return nil, 0, err
	}
	call.MaxAttempts = attempts
	if i := call.Class; i < len(other.Classes) { // the client may wait as long as either allows
		if longer, err := ParseTimeout(h.Header.Get(TimeoutHeader), other.Classes[i].Deadline); err == nil && longer > timeout {
			timeout = longer
			call.Deadline = began + timeout - min(deadlineMargin, timeout/4)
		}
	}
	return call, timeout, nil
}

// classIndex returns the index of the class that a path names; -1 if there is none, or if it is retired.
func (rules *Rules) classIndex(path string) int {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return slices.IndexFunc(rules.Classes, func(c balancer.Class) bool { return c.Name == name && !c.Retired })
}

// matchesClassEffect reports whether method and idempotency key of a request imply the effect that its class has.
func (rules *Rules) matchesClassEffect(h Head) bool {
	i := rules.classIndex(h.Path)
	if i < 0 {
		return false
	}
	effect := balancer.NonIdempotent
	switch {
	case h.Method == http.MethodGet, h.Method == http.MethodHead:
		effect = balancer.Idempotent
	case h.Header.Get(IdempotencyKeyHeader) != "":
		effect = balancer.IdempotentByKey
	}
	return rules.Classes[i].Effect == effect
}

// check checks a request against these rules alone.
func (rules *Rules) check(h Head, began time.Duration) (*engine.Call, time.Duration, error) {
	index := rules.classIndex(h.Path)
	if index < 0 {
		return nil, 0, BadRequestError{http.StatusNotFound, "unknown class"}
	}
	class := rules.Classes[index]
	if err := checkMessage(h, class); err != nil {
		return nil, 0, err
	}
	timeout, err := ParseTimeout(h.Header.Get(TimeoutHeader), class.Deadline)
	if err != nil {
		return nil, 0, err
	}
	tenant := slices.Index(rules.Tenants, h.Header.Get(tenantHeader))
	if tenant < 0 && len(rules.Tenants) > 0 {
		return nil, 0, BadRequestError{http.StatusBadRequest, "unknown tenant"}
	}
	call := &engine.Call{ID: h.Header.Get(RequestIDHeader), Class: index, Tenant: tenant, Key: h.Header.Get(routeKeyHeader),
		Deadline: began + timeout - min(deadlineMargin, timeout/4), ClientRetry: h.Header.Get(retriedHeader) == "1",
		Effect: class.Effect, IdempotencyKey: h.Header.Get(IdempotencyKeyHeader), Path: h.Path, Header: h.Header,
		SettingsVersion: rules.Version, MaxAttempts: rules.MaxAttempts}
	if class.Effect == balancer.IdempotentByKey {
		call.IdempotencyWindow = class.DedupWindow
	}
	return call, timeout, nil
}
