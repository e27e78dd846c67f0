// Package requesthead validates the head of a request and makes an engine.Call of it. Every downstream server that accepts
// HTTP messages uses it, so that all of them are equally strict.
//
// requesthead.go checks one message, rules.go holds the settings that messages are checked against and replaces them at
// run time, headers.go says which headers are read, forwarded and compared.
package requesthead

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// The request headers that the agent reads, in net/http's canonical form: any other form costs an allocation at each lookup.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	TimeoutHeader        = "X-Timeout"
	tenantHeader         = "X-Tenant-Id"
	routeKeyHeader       = "X-Route-Key"
	retriedHeader        = "X-Retried"
	maxRequestIDLength   = 128 // bytes
)

const (
	// MaxBody is the longest body, in bytes, that is accepted unless Head.MaxBody allows more.
	MaxBody = 64 << 10

	// deadlineMargin is how long before the client's deadline a request is ended, so that its answer arrives in time.
	deadlineMargin = 20 * time.Millisecond
)

// BadRequestError is the error of an invalid request. The downstream server answers it with Status, a 4xx, and Text; the
// request is never forwarded.
type BadRequestError struct {
	Status int
	Text   string
}

func (e BadRequestError) Error() string { return e.Text }

// Checker checks requests. Rules and ActiveRules implement it.
type Checker interface {
	// Check is called by the goroutine of each request, concurrently. See Rules.Check.
	Check(h Head, began time.Duration) (*engine.Call, time.Duration, error)
}

// Head is the head of a request.
type Head struct {
	Method, Path  string      // Path is without the query
	Header        http.Header // with canonical names
	ContentLength int64       // bytes of the body; -1 where none is stated
	Chunked       bool        // the request has a transfer encoding

	// Set by downstream servers that check the framing themselves:
	MaxBody              int64 // longest accepted body in bytes; below the constant MaxBody the constant applies
	AllowsChunkedAndHead bool  // also accept chunked bodies, and HEAD for classes of idempotent requests
}

// checkMessage checks framing, method and headers of a request of that class, without reading the body.
func checkMessage(h Head, class balancer.Class) error {
	// Request smuggling: with both a Content-Length and chunks, a second request may hide in what the length counts as the
	// body (RFC 9112, section 6.3). net/http drops such a length silently, so that all chunked bodies are rejected unless
	// the downstream server checks the framing itself; clients always send a length.
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
		// Without a key the backends can't recognize a retry, so the request must not be retried as this class allows.
		return BadRequestError{http.StatusBadRequest, IdempotencyKeyHeader + " is missing"}
	}
	return nil
}

var timeoutPattern = regexp.MustCompile(`^([0-9]{1,12}(?:\.[0-9]{1,12})?)([mu])$`)

// ParseTimeout parses the value of X-Timeout: a number and a unit, m for milliseconds or u for microseconds. The result is at
// most maxTimeout, the deadline of the request's class: a longer one would keep memory and timers for as long. The error
// is a BadRequestError.
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
