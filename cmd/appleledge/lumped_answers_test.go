package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

const (
	lumpedAnswers       = 60  // in CI
	lumpedAnswersByHand = 300 // with APPLELEDGE_LONG=1
	lumpedAtATime       = 6   // answers that are open at the same time
	answerGrace         = 50 * time.Millisecond
	lumpedObjective     = 2 * time.Second // so that heads which come slowly are no overload
	minForwardedRatio   = 0.5             // of the answers: the agent may shed load, as their heads come slowly
)

// framingForm is how an answer's end is told.
type framingForm string

const (
	inChunks      framingForm = "chunks"
	inOddChunks   framingForm = "odd chunks" // chunks and lumps begin at different places
	withLength    framingForm = "length"
	endsWithClose framingForm = "close"
)

// lumpedAnswer is a long answer as its server writes it: a head, some bytes beside it, and the rest in lumps.
type lumpedAnswer struct {
	form          framingForm
	size, beside  int           // bytes
	headAfter     time.Duration // of the request
	lumps         int
	lasts         time.Duration // from the head to the last lump
	clientTimeout time.Duration
	isKeyed       bool
}

func (a lumpedAnswer) String() string {
	return fmt.Sprintf("%s, %d bytes, head after %v, %d beside it, %d lumps in %v, client's time %v, keyed %t",
		a.form, a.size, a.headAfter, a.beside, a.lumps, a.lasts, a.clientTimeout, a.isKeyed)
}

// drawLumpedAnswer draws an answer whose head comes within its client's time.
func drawLumpedAnswer(r *rand.Rand) lumpedAnswer {
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(r.Int64N(int64(high-low))) }
	timeout := between(500*time.Millisecond, time.Second)
	return lumpedAnswer{
		form:          []framingForm{inChunks, inOddChunks, withLength, endsWithClose}[r.IntN(4)],
		size:          70_000 + r.IntN(330_000),
		beside:        []int{0, 1, 100, 9_000, 66_000}[r.IntN(5)],
		headAfter:     between(20*time.Millisecond, timeout-150*time.Millisecond),
		lumps:         1 + r.IntN(7),
		lasts:         between(200*time.Millisecond, 3*time.Second),
		clientTimeout: timeout,
		isKeyed:       r.IntN(2) == 0,
	}
}

// content returns bytes that tell where in an answer they stand.
func content(size int) []byte {
	text := make([]byte, size)
	for i := range text {
		text[i] = byte('a' + (i+i/251)%26)
	}
	return text
}

// encoded returns the answer's head, and its body as it stands on the wire in its form.
func (a lumpedAnswer) encoded() (head string, body []byte) {
	plain := content(a.size)
	head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	switch a.form {
	case withLength:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", a.size), plain
	case endsWithClose:
		return head + "Connection: close\r\n\r\n", plain
	}
	var out bytes.Buffer
	for begin, end := range a.chunks() {
		fmt.Fprintf(&out, "%x\r\n%s\r\n", end-begin, plain[begin:end])
	}
	out.WriteString("0\r\n\r\n")
	return head + "Transfer-Encoding: chunked\r\n\r\n", out.Bytes()
}

// chunks yields where the chunks of the body begin and end: one a lump, or chunks of another size.
func (a lumpedAnswer) chunks() func(yield func(begin, end int) bool) {
	size := a.size/7 + 1
	return func(yield func(begin, end int) bool) {
		bounds := []int{a.beside}
		for i := 1; i <= a.lumps; i++ {
			bounds = append(bounds, a.beside+(a.size-a.beside)*i/a.lumps)
		}
		if a.form == inOddChunks {
			bounds = nil
			for at := size; at < a.size; at += size {
				bounds = append(bounds, at)
			}
			bounds = append(bounds, a.size)
		}
		begin := 0
		for _, end := range bounds {
			if end > begin && !yield(begin, end) {
				return
			}
			begin = max(begin, end)
		}
	}
}

// lumpServer answers each request as the answer under its id says.
type lumpServer struct {
	mu      sync.Mutex
	answers map[string]lumpedAnswer
	taken   map[string]bool // by a server
}

func newLumpServer() *lumpServer {
	return &lumpServer{answers: map[string]lumpedAnswer{}, taken: map[string]bool{}}
}

func (s *lumpServer) answerTo(id string) (lumpedAnswer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.answers[id]
	s.taken[id] = true
	return a, ok
}

// hasTaken reports whether a server got the request with an id.
func (s *lumpServer) hasTaken(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken[id]
}

func (s *lumpServer) serve(c net.Conn) {
	defer besteffort.Close(c)
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.Header.Get("Expect") != "" {
			besteffort.IgnoreResult(io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"))
		}
		besteffort.IgnoreResult(io.Copy(io.Discard, r.Body))
		a, ok := s.answerTo(r.Header.Get("X-Request-Id"))
		if !ok || !a.write(c) || a.form == endsWithClose {
			return
		}
	}
}

// write writes the answer. It reports false when the client has gone.
func (a lumpedAnswer) write(c net.Conn) bool {
	head, body := a.encoded()
	time.Sleep(a.headAfter)
	beside := min(a.beside, len(body))
	if a.beside > 0 && a.form == inChunks { // the whole first chunk
		beside = bytes.IndexByte(body, '\n') + 1 + a.beside + len("\r\n")
	}
	if _, err := c.Write(append([]byte(head), body[:beside]...)); err != nil {
		return false
	}
	rest := body[beside:]
	for i := range a.lumps {
		time.Sleep(a.lasts / time.Duration(a.lumps))
		if _, err := c.Write(rest[i*len(rest)/a.lumps : (i+1)*len(rest)/a.lumps]); err != nil {
			return false
		}
	}
	return true
}

// lumpedResult is what a client got.
type lumpedResult struct {
	isTaken   bool // a server got the request
	status    int
	firstByte time.Duration // from its request
	length    int
	err       error
}

// play sends a request and reads its answer to the end.
func (s *lumpServer) play(a lumpedAnswer, agent *limitedAgent) lumpedResult {
	id := fmt.Sprintf("%016x", agent.lastID.Add(1))
	s.mu.Lock()
	s.answers[id] = a
	s.mu.Unlock()
	c, err := net.Dial("tcp", agent.addr)
	if err != nil {
		return lumpedResult{err: err}
	}
	defer besteffort.Close(c)
	besteffort.Ignore(c.SetDeadline(time.Now().Add(a.clientTimeout + a.lasts + 10*time.Second)))
	text := "GET /form-check HTTP/1.1\r\n"
	if a.isKeyed {
		text = "POST /refund-record HTTP/1.1\r\nIdempotency-Key: " + id + "\r\nContent-Length: 0\r\n"
	}
	text += fmt.Sprintf("Host: a\r\nX-Request-ID: %s\r\nX-Tenant-Id: glasgow-airport\r\nX-Timeout: %dm\r\n\r\n", id, a.clientTimeout.Milliseconds())
	began := time.Now()
	if _, err := io.WriteString(c, text); err != nil {
		return lumpedResult{err: err}
	}
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		return lumpedResult{err: err}
	}
	first := time.Since(began)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return lumpedResult{firstByte: first, err: err}
	}
	defer besteffort.Close(resp.Body)
	got, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK && !bytes.Equal(got, content(a.size)) {
		err = errors.New("not what the server wrote")
	}
	return lumpedResult{isTaken: s.hasTaken(id), status: resp.StatusCode, firstByte: first, length: len(got), err: err}
}

// verdict says what is wrong with a result; empty: nothing.
func (a lumpedAnswer) verdict(r lumpedResult) string {
	switch {
	case r.err == nil && r.status == http.StatusServiceUnavailable && !r.isTaken: // load was shed
		return ""
	case r.status != http.StatusOK:
		return "not served"
	case r.err != nil || r.length != a.size:
		return "cut off"
	case r.firstByte > a.clientTimeout+answerGrace:
		return "late"
	}
	return ""
}

// startAgent starts an agent beside servers that write lumped answers.
func (s *lumpServer) startAgent(t *testing.T) *limitedAgent {
	t.Helper()
	var servers []string
	for range serverCount {
		l := agenttest.Listen(t)
		agenttest.ServeConns(t, l, s.serve)
		servers = append(servers, l.Addr().String())
	}
	return limitedOptions{memoryMB: 32, sockets: 1024, operated: true, servers: servers, latencyObjective: lumpedObjective}.start(t)
}

// playAll asks for answers, some at a time, and checks what comes of each.
func (s *lumpServer) playAll(t *testing.T, agent *limitedAgent, answers []lumpedAnswer) {
	t.Helper()
	var all sync.WaitGroup
	var served atomic.Int64
	places := make(chan struct{}, lumpedAtATime)
	for _, a := range answers {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			got := s.play(a, agent)
			if got.status == http.StatusOK {
				served.Add(1)
			}
			if wrong := a.verdict(got); wrong != "" {
				t.Errorf("%s: status %d, first byte after %v, %d bytes, %v: %v", wrong, got.status, got.firstByte.Round(time.Millisecond), got.length, got.err, a)
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d served", served.Load(), len(answers))
	if float64(served.Load()) < minForwardedRatio*float64(len(answers)) {
		t.Errorf("%d of %d were served", served.Load(), len(answers))
	}
	if t.Failed() {
		t.Logf("the agent's log:\n%s", agent.log)
	}
}

// drawLumpedAnswers draws answers, all of one seed.
func drawLumpedAnswers(seed uint64, count int) (answers []lumpedAnswer) {
	r := rand.New(rand.NewPCG(seed, 76))
	for range count {
		answers = append(answers, drawLumpedAnswer(r))
	}
	return answers
}

// Servers write long answers in lumps, in every form that HTTP/1.1 has; the head comes within the client's time, and the rest when it likes.
// Each such answer was to be served, begun in time and whole: a third ended as 502 at the client's time (issue 76, evidence 2).
func TestLongAnswerInLumpsIsNotCutOff(t *testing.T) {
	count := lumpedAnswers
	if isLongRun() {
		count = lumpedAnswersByHand
	}
	server := newLumpServer()
	agent := server.startAgent(t)
	server.playAll(t, agent, drawLumpedAnswers(seedOfRun(t), count))
	besteffort.Ignore(agent.process.Signal(syscall.SIGTERM))
}
