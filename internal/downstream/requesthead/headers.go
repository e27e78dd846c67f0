package requesthead

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"appleledge/internal/engine"
)

// ForwardedHeaders returns the headers of h that are forwarded to a backend. The values are shared with h.
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

// RetryAfterHeaders returns the names and values of the headers that tell a client when to retry: Retry-After (RFC 9110,
// section 10.2.3; in decimal seconds, as the platform has it), and, where a limit rejected the request, RateLimit and
// RateLimit-Policy (draft-ietf-httpapi-ratelimit-headers-10).
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

// IdentityHeaders lists the request headers on which a backend's response may depend, without those that identify the
// requester. Each is its name, the number of its values, and the values, so that different headers never give equal lists.
func IdentityHeaders(h http.Header) (parts []string) {
	for _, name := range forwardedHeaders {
		if values := h[http.CanonicalHeaderKey(name)]; len(values) > 0 && !slices.Contains(requesterHeaders, name) {
			parts = append(parts, name, strconv.Itoa(len(values)))
			parts = append(parts, values...)
		}
	}
	return parts
}

// HasCacheDirective reports whether Cache-Control has one of the directives (RFC 9111, section 5.2), which are given in lower
// case. Quoted strings are not parsed: a directive between commas within one counts as well.
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

// VariesByRequester reports whether a response's Vary (RFC 9110, section 12.5.5) names a header that identifies the
// requester, or is "*".
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

// CheckedHeaders are the headers that Rules.Check reads. A downstream server that copies headers must copy these.
var CheckedHeaders = []string{RequestIDHeader, IdempotencyKeyHeader, TimeoutHeader, tenantHeader, routeKeyHeader, retriedHeader}

// RoutingHeaders are the headers by which a fleet configuration may route. Every downstream server puts them in Head.Header.
var RoutingHeaders = []string{"X-Attrs", "X-Cost", routeKeyHeader}

// forwardedHeaders are the headers that are forwarded to a backend. All others are dropped: what a client puts in them must
// not change how a backend reads the message.
var forwardedHeaders = []string{RequestIDHeader, IdempotencyKeyHeader, tenantHeader, routeKeyHeader, retriedHeader, "X-Cost", "X-Attrs",
	"Content-Type"}

// requesterHeaders are those forwarded headers that identify the requester or the attempt, not what is requested. Requests
// that differ only in them may share one response.
var requesterHeaders = []string{RequestIDHeader, tenantHeader, retriedHeader, "X-Cost"}
