package agent

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"appleledge/logic"
)

// The headers of a request that the agent reads.
const (
	requestIDHeader = "X-Request-ID"
	keyHeader       = "Idempotency-Key"
	tenantHeader    = "X-Tenant-Id"
	routeKeyHeader  = "X-Route-Key"
	retriedHeader   = "X-Retried"
	longestID       = 128
)

// passedOn are the headers that go on to a backend. All others concern the agent or nobody: what a client puts in them
// must not change how a backend reads the message.
var passedOn = []string{requestIDHeader, keyHeader, tenantHeader, routeKeyHeader, retriedHeader, "X-Cost", "X-Attrs",
	"Content-Type"}

// badRequest is a request that is answered with a plain 4xx and never forwarded.
type badRequest struct {
	status int
	text   string
}

func (e badRequest) Error() string { return e.text }

// accept reads a request and checks it. The body must be there in time whatever time-out the client states.
func (s *server) accept(w http.ResponseWriter, r *http.Request, began time.Duration) (*call, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	index := slices.IndexFunc(s.site.Logic.Classes, func(c logic.Class) bool { return c.Name == name })
	if index < 0 {
		return nil, badRequest{http.StatusNotFound, "unknown class"}
	}
	class := s.site.Logic.Classes[index]
	if err := checkForm(r, class); err != nil {
		return nil, err
	}
	timeout, err := parseTimeout(r.Header.Get(timeoutHeader), class.Deadline)
	if err != nil {
		return nil, err
	}
	tenant := slices.Index(s.site.Tenants, r.Header.Get(tenantHeader))
	if tenant < 0 && len(s.site.Tenants) > 0 {
		return nil, badRequest{http.StatusBadRequest, "unknown tenant"}
	}
	body, err := readBody(w, r, s.clock.at(began+min(timeout, bodyTimeout)))
	if err != nil {
		return nil, err
	}
	c := &call{
		id: r.Header.Get(requestIDHeader), class: index, tenant: tenant, key: r.Header.Get(routeKeyHeader),
		method: r.Method, host: r.Host, url: r.URL, header: forwarded(r.Header), body: body,
		deadline: began + timeout - min(deadlineMargin, timeout/4), again: r.Header.Get(retriedHeader) == "1",
		answer: make(chan answer, 1),
	}
	if class.Effect == logic.Keyed {
		c.window = class.Window
	}
	return c, nil
}

// checkForm checks what does not depend on the body.
func checkForm(r *http.Request, class logic.Class) error {
	// Beside a length, chunks may hide a second request in what the length makes the body. net/http drops such a length
	// unseen, so that chunks can't be had at all; clients always send a length.
	if len(r.TransferEncoding) > 0 {
		return badRequest{http.StatusLengthRequired, "only a body with a Content-Length is taken"}
	}
	if r.ContentLength > maxBody {
		return badRequest{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
	}
	want := http.MethodPost
	if class.Effect == logic.Safe {
		want = http.MethodGet
	}
	if r.Method != want {
		return badRequest{http.StatusMethodNotAllowed, "the method does not fit the class"}
	}
	if want == http.MethodGet && r.ContentLength != 0 {
		return badRequest{http.StatusBadRequest, "a GET has no body"}
	}
	for _, name := range []string{requestIDHeader, keyHeader, timeoutHeader} {
		if len(r.Header.Values(name)) > 1 {
			return badRequest{http.StatusBadRequest, name + " is there more than once"}
		}
	}
	if id := r.Header.Get(requestIDHeader); id == "" || len(id) > longestID {
		return badRequest{http.StatusBadRequest, requestIDHeader + " is missing or too long"}
	}
	if class.Effect == logic.Keyed && r.Header.Get(keyHeader) == "" {
		// The backends could not tell a repeat, so it must not be sent as one of this class.
		return badRequest{http.StatusBadRequest, keyHeader + " is missing"}
	}
	return nil
}

var timeoutForm = regexp.MustCompile(`^([0-9]{1,12}(?:\.[0-9]{1,12})?)([mu])$`)

// parseTimeout reads a number and a unit, m for milliseconds or u for microseconds. A client's whole patience is its
// class's deadline: what it states beyond that is cut, as it would hold memory and timers for as long.
func parseTimeout(text string, most time.Duration) (time.Duration, error) {
	bad := badRequest{http.StatusBadRequest, timeoutHeader + " is missing or malformed"}
	form := timeoutForm.FindStringSubmatch(text)
	if form == nil {
		return 0, bad
	}
	unit := time.Millisecond
	if form[2] == "u" {
		unit = time.Microsecond
	}
	x, err := strconv.ParseFloat(form[1], 64)
	if err != nil || x <= 0 {
		return 0, bad
	}
	return time.Duration(min(x*float64(unit), float64(most))), nil
}

// readBody reads the whole body, which must be there in time.
func readBody(w http.ResponseWriter, r *http.Request, until time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(until); err != nil {
		return nil, fmt.Errorf("setting the read deadline: %w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if _, long := errors.AsType[*http.MaxBytesError](err); long {
		return nil, badRequest{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
	}
	if err != nil {
		return nil, badRequest{http.StatusBadRequest, "the body is not whole"}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("clearing the read deadline: %w", err)
	}
	return body, nil
}

// forwarded returns the headers that go on to a backend.
func forwarded(h http.Header) http.Header {
	out := make(http.Header, len(passedOn)+1)
	for _, name := range passedOn {
		name = http.CanonicalHeaderKey(name)
		if values := h[name]; len(values) > 0 {
			out[name] = values
		}
	}
	return out
}
