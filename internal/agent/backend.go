package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"appleledge/internal/wire"
	"appleledge/logic"
)

const (
	maxBody       = 64 << 10 // the longest body of a message
	maxFigure     = 1e9      // a load report with more in it is malformed
	timeoutHeader = "X-Timeout"
	mostInterim   = 8         // 1xx answers before the final one
	maxHead       = 16 << 10  // of an answer, with interim ones
	maxAnswer     = 128 << 10 // its body, however the chunks are cut
	startOfAnswer = "HTTP/1."

	// Backends send an answer in one go. One that stops half way is spoilt, and its connection stays open.
	answerTimeout = 500 * time.Millisecond
)

// attempt is one Send: a request on its way to one backend.
type attempt struct {
	call    *call
	number  int
	server  string
	backend *backend // its life at the time of the Send
	sent    time.Duration
	until   time.Duration // when the agent stops waiting
	writeBy time.Duration // when it is too late to begin: at until, or earlier for a keyed request sent before
}

// outcome is how an attempt ended. Every Send gets exactly one.
type outcome struct {
	attempt     *attempt
	result      logic.Result
	report      logic.Report
	body        []byte // of an OK
	contentType string
}

// sender makes attempts.
type sender struct {
	pool   *pool
	clock  clock
	fields []string // of load reports
	noted  func(err error)
}

// try makes the attempt and returns its outcome, which is exact: what may have run is never said not to have.
func (s *sender) try(ctx context.Context, a *attempt) outcome {
	out := outcome{attempt: a, result: logic.NotSent, report: logic.NoReport}
	ctx, cancel := context.WithDeadline(ctx, s.clock.at(a.until))
	defer cancel()
	c, err := s.pool.get(ctx, a.backend)
	switch {
	case errors.Is(err, errNotReady) || errors.Is(err, errNoRoom) || err != nil && ctx.Err() != nil:
		return out // the agent's own lack says nothing of the backend
	case err != nil:
		out.result = logic.ConnectFailed
		return out
	case !s.stillWanted(a):
		s.pool.put(c, true)
		return out
	}
	keep := s.exchange(c, a, &out)
	s.pool.put(c, keep)
	return out
}

// stillWanted is asked just before the first byte goes out. A dial may have taken long: meanwhile the backend
// may have begun to drain or started anew, the request may have ended, or the backends may have forgotten its key.
func (s *sender) stillWanted(a *attempt) bool {
	return s.clock.now() < a.writeBy && !a.call.closed.Load() && s.pool.takesNew(a.backend)
}

// exchange writes the request and reads the whole answer; keep says whether the connection is in order then.
func (s *sender) exchange(c *conn, a *attempt, out *outcome) (keep bool) {
	req, text, err := s.request(a)
	if err != nil || c.SetDeadline(s.clock.at(a.until)) != nil {
		return false
	}
	if n, err := c.Write(text); err != nil && n < len(text) {
		out.result = logic.ConnectFailed // the backend begins a request when its last byte has come
		return false
	}
	resp, body, err := s.readAnswer(c, req, a)
	if err != nil {
		out.result = broken(err)
		return false
	}
	out.report = s.readReport(resp.Header.Values("X-Server-Load"))
	switch code := resp.StatusCode; {
	case code == http.StatusOK:
		out.result, out.body, out.contentType = logic.OK, body, resp.Header.Get("Content-Type")
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1":
		out.result = logic.Rejected
	default:
		out.result = logic.Failed
	}
	return !resp.Close
}

// errSpoilt is an answer that can't be what a backend made for the request. The request may have run.
var errSpoilt = errors.New("spoilt answer")

// readAnswer reads a whole answer, or fails as soon as it can't become one: a spoilt answer may never end.
func (s *sender) readAnswer(c *conn, req *http.Request, a *attempt) (*http.Response, []byte, error) {
	c.left.N = maxHead // http.ReadResponse takes a head of any length
	if err := startsWell(c.reader); err != nil {
		return nil, nil, err
	}
	if end := s.clock.now() + answerTimeout; end < a.until {
		if err := c.SetReadDeadline(s.clock.at(end)); err != nil {
			return nil, nil, err
		}
	}
	resp, err := readResponse(c, req)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errSpoilt, err)
	}
	body, err := readWhole(c, resp)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errSpoilt, err)
	}
	return resp, body, nil
}

// startsWell waits for the answer's first bytes, and fails at the first that no answer begins with: noise may hold
// no end of a line, for which the parser would wait.
func startsWell(r *bufio.Reader) error {
	for n := 1; n <= len(startOfAnswer); n++ {
		got, err := r.Peek(n)
		if err != nil {
			return err
		}
		if got[n-1] != startOfAnswer[n-1] {
			return errSpoilt
		}
	}
	return nil
}

// readWhole reads the body, which has to say where it ends: one that ends where the connection does may be cut.
func readWhole(c *conn, resp *http.Response) ([]byte, error) {
	length := resp.ContentLength
	if length > maxBody || length < 0 && len(resp.TransferEncoding) == 0 {
		return nil, fmt.Errorf("a length of %d", length)
	}
	c.left.N = maxAnswer
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errors.New("a body over 64 KiB")
	}
	return body, err
}

// request returns the message for the backend, also as text.
func (s *sender) request(a *attempt) (*http.Request, []byte, error) {
	in := a.call
	req := &http.Request{Method: in.method, URL: in.url, Host: in.host, Header: in.header.Clone(),
		ContentLength: int64(len(in.body)), Body: http.NoBody}
	if len(in.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(in.body))
	}
	left := max(0, a.until-s.clock.now())
	req.Header.Set(timeoutHeader, strconv.FormatInt(left.Microseconds(), 10)+"u")
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return nil, nil, fmt.Errorf("writing the request: %w", err)
	}
	return req, text.Bytes(), nil
}

// readResponse reads the head of the final answer, past interim ones.
func readResponse(c *conn, req *http.Request) (*http.Response, error) {
	for range mostInterim {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errors.New("too many interim answers")
}

// broken is the result of a request that was written whole and got no whole answer.
func broken(err error) logic.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errSpoilt) {
		return logic.TimedOut
	}
	return logic.Reset
}

// readReport reads the load report of an answer: the first that can be read. A malformed one is no report.
func (s *sender) readReport(texts []string) logic.Report {
	for _, text := range texts {
		r, err := parseReport(text, s.fields)
		if err == nil {
			return r
		}
		s.noted(err)
	}
	return logic.NoReport
}

func parseReport(text string, fields []string) (logic.Report, error) {
	r := logic.NoReport
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(x) || x < 0 || x > maxFigure {
			return r, fmt.Errorf("load report %.100q", text)
		}
		for _, f := range fields {
			if f == name {
				wire.SetFigure(&r, name, x)
			}
		}
	}
	return r, nil
}
