// Package requesthead checks the head of a request, by whatever front it came, and says what the engine needs to know of
// it. All fronts that take HTTP messages go through it, so that they are equally strict.
package requesthead

import (
	"fmt"
	"math"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// The headers of a request that the agent reads, in net/http's form: another one costs an allocation at each look.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	TimeoutHeader        = "X-Timeout"
	tenantHeader         = "X-Tenant-Id"
	routeKeyHeader       = "X-Route-Key"
	retriedHeader        = "X-Retried"
	maxRequestIDLength   = 128
)

const (
	// MaxBody is the longest body of a message, in bytes.
	MaxBody = 64 << 10

	deadlineMargin = 20 * time.Millisecond // before the client's deadline a request is ended, so that its answer is out in time
)

// CheckedHeaders are the headers that Check reads.
var CheckedHeaders = []string{RequestIDHeader, IdempotencyKeyHeader, TimeoutHeader, tenantHeader, routeKeyHeader, retriedHeader}

// RoutingHeaders are the headers by which a configuration may route. Every front hands them over.
var RoutingHeaders = []string{"X-Attrs", "X-Cost", routeKeyHeader}

// forwardedHeaders are the headers that go on to a backend. All others concern the agent or nobody: what a client puts in them
// must not change how a backend reads the message.
var forwardedHeaders = []string{RequestIDHeader, IdempotencyKeyHeader, tenantHeader, routeKeyHeader, retriedHeader, "X-Cost", "X-Attrs",
	"Content-Type"}

// requesterHeaders are those of them that say who asks, and how often, and not what is asked.
var requesterHeaders = []string{RequestIDHeader, tenantHeader, retriedHeader, "X-Cost"}

// BadRequestError is a request that is answered with a plain 4xx and never forwarded.
type BadRequestError struct {
	Status int
	Text   string
}

func (e BadRequestError) Error() string { return e.Text }

// Rules are what requests are checked against. They are not changed: settings that change make others.
type Rules struct {
	Classes     []balancer.Class
	Tenants     []string // names, in the order of the module's numbers; empty where there are none
	MaxAttempts int      // that a request may have; 0: as many as the module says
	Version     int      // of the settings that they follow from

	// Previous are those that they replaced. Until that time a request whose form fits what its class was then alone is taken
	// under them, and none has more attempts than either allows.
	Previous      *Rules
	PreviousUntil time.Duration
}

// Checker checks requests.
type Checker interface {
	Check(h Head, began time.Duration) (*engine.Call, time.Duration, error)
}

// ActiveRules are rules that may be replaced while requests come. It is safe for concurrent use.
type ActiveRules struct{ rules atomic.Pointer[Rules] }

// Replace puts rules in force.
func (a *ActiveRules) Replace(r Rules) { a.rules.Store(&r) }

// Check checks a request against the rules in force.
func (a *ActiveRules) Check(h Head, began time.Duration) (*engine.Call, time.Duration, error) {
	return a.rules.Load().Check(h, began)
}

// MaxDeadline is how long any client waits, under these rules or those before.
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

// LatencyObjective is within what time any client wants its answer.
func (a *ActiveRules) LatencyObjective() (longest time.Duration) {
	for _, c := range a.rules.Load().Classes {
		if !c.Retired {
			longest = max(longest, c.LatencyObjective)
		}
	}
	return longest
}

// Head is a request's head. Header has canonical names.
type Head struct {
	Method, Path  string // Path with no query
	Header        http.Header
	ContentLength int64 // of the body; -1 where none is stated
	Chunked       bool  // it has a transfer encoding

	// Of fronts that check the framing themselves:
	MaxBody              int64 // the longest body that is taken; 0: MaxBody
	AllowsChunkedAndHead bool  // chunked bodies, and HEAD of what may be repeated at will, are taken as well
}

// Check checks a request that began at that time on the engine's clock. It returns the call, without payload, carrier
// and caller, and how long the client waits. An error is a BadRequestError.
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
	if i := call.Class; i < len(other.Classes) { // the client's patience is what either allows
		if longer, err := ParseTimeout(h.Header.Get(TimeoutHeader), other.Classes[i].Deadline); err == nil && longer > timeout {
			timeout = longer
			call.Deadline = began + timeout - min(deadlineMargin, timeout/4)
		}
	}
	return call, timeout, nil
}

// class is the number of the class that a path names; -1 of none that takes requests.
func (rules *Rules) classIndex(path string) int {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return slices.IndexFunc(rules.Classes, func(c balancer.Class) bool { return c.Name == name && !c.Retired })
}

// fits reports whether a request has the form of its class: method and key tell the effect.
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

// checkMessage checks what does not depend on the body.
func checkMessage(h Head, class balancer.Class) error {
	// Beside a length, chunks may hide a second request in what the length makes the body. net/http drops such a length
	// unseen, so that chunks can't be had at all; clients always send a length.
	if h.Chunked && !h.AllowsChunkedAndHead {
		return BadRequestError{http.StatusLengthRequired, "only a body with a Content-Length is taken"}
	}
	if h.ContentLength > max(h.MaxBody, MaxBody) {
		return BadRequestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is over %d KiB", max(h.MaxBody, MaxBody)>>10)}
	}
	want := http.MethodPost
	switch {
	case class.Effect == balancer.Idempotent && h.AllowsChunkedAndHead && h.Method == http.MethodHead:
		want = http.MethodHead
	case class.Effect == balancer.Idempotent:
		want = http.MethodGet
	}
	if h.Method != want {
		return BadRequestError{http.StatusMethodNotAllowed, "the method does not fit the class"}
	}
	if want != http.MethodPost && (h.ContentLength != 0 || h.Chunked) {
		return BadRequestError{http.StatusBadRequest, "a GET has no body"}
	}
	for _, name := range []string{RequestIDHeader, IdempotencyKeyHeader, TimeoutHeader} {
		if len(h.Header.Values(name)) > 1 {
			return BadRequestError{http.StatusBadRequest, name + " is there more than once"}
		}
	}
	if id := h.Header.Get(RequestIDHeader); id == "" || len(id) > maxRequestIDLength {
		return BadRequestError{http.StatusBadRequest, RequestIDHeader + " is missing or too long"}
	}
	if class.Effect == balancer.IdempotentByKey && h.Header.Get(IdempotencyKeyHeader) == "" {
		// The backends could not tell a repeat, so it must not be sent as one of this class.
		return BadRequestError{http.StatusBadRequest, IdempotencyKeyHeader + " is missing"}
	}
	return nil
}

var timeoutPattern = regexp.MustCompile(`^([0-9]{1,12}(?:\.[0-9]{1,12})?)([mu])$`)

// ParseTimeout reads a number and a unit, m for milliseconds or u for microseconds. A client's whole patience is its
// class's deadline: what it states beyond that is cut, as it would hold memory and timers for as long.
func ParseTimeout(text string, maxTimeout time.Duration) (time.Duration, error) {
	errMalformed := BadRequestError{http.StatusBadRequest, TimeoutHeader + " is missing or malformed"}
	parts := timeoutPattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, errMalformed
	}
	unit := time.Millisecond
	if parts[2] == "u" {
		unit = time.Microsecond
	}
	amount, err := strconv.ParseFloat(parts[1], 64)
	if err != nil || amount <= 0 {
		return 0, errMalformed
	}
	return time.Duration(min(amount*float64(unit), float64(maxTimeout))), nil
}

// ForwardedHeaders returns the headers that go on to a backend.
func ForwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(forwardedHeaders)+1)
	for _, name := range forwardedHeaders {
		name = http.CanonicalHeaderKey(name)
		if values := h[name]; len(values) > 0 {
			out[name] = values
		}
	}
	return out
}

// RetryAfterHeaders are the headers by which a client is told when to come back, as names and values: Retry-After (RFC 9110, section
// 10.2.3; decimal, as the platform has it), and where a limit turned it away RateLimit and RateLimit-Policy
// (draft-ietf-httpapi-ratelimit-headers-10).
func RetryAfterHeaders(a engine.Answer) (headers [][2]string) {
	if a.RetryAfter > 0 {
		headers = append(headers, [2]string{"Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64)})
	}
	if a.Limit > 0 {
		headers = append(headers, [2]string{"Ratelimit-Policy", fmt.Sprintf(`"storm";q=%d;qu="concurrent-requests"`, a.Limit)},
			[2]string{"Ratelimit", fmt.Sprintf(`"storm";r=0;t=%d`, int64(math.Ceil(a.RetryAfter.Seconds())))})
	}
	return headers
}

// IdentityHeaders lists what of a request's headers a backend's answer may hang on, without who asks: each name that goes on, how many
// values it has, and these.
func IdentityHeaders(h http.Header) (parts []string) {
	for _, name := range forwardedHeaders {
		if values := h[http.CanonicalHeaderKey(name)]; len(values) > 0 && !slices.Contains(requesterHeaders, name) {
			parts = append(parts, name, strconv.Itoa(len(values)))
			parts = append(parts, values...)
		}
	}
	return parts
}

// HasCacheDirective reports whether Cache-Control has one of the directives (RFC 9111, section 5.2), which are named in lower case.
// One that stands in quotes counts as well.
func HasCacheDirective(h http.Header, directives ...string) bool {
	for _, value := range h["Cache-Control"] {
		for part := range strings.SplitSeq(value, ",") {
			name, _, _ := strings.Cut(part, "=")
			if slices.Contains(directives, strings.ToLower(strings.TrimSpace(name))) {
				return true
			}
		}
	}
	return false
}

// VariesByRequester reports whether an answer's Vary (RFC 9110, section 12.5.5) says that it hangs on who asks, or on nobody
// knows what.
func VariesByRequester(h http.Header) bool {
	for _, value := range h["Vary"] {
		for name := range strings.SplitSeq(value, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if name == "*" || slices.Contains(requesterHeaders, name) {
				return true
			}
		}
	}
	return false
}
