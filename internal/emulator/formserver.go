package emulator

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"appleledge/internal/besteffort"
)

// Class says what requests of a class are to a form server.
type Class struct {
	Name string
	Work [2]time.Duration // on a core of speed 1: from, to
	Wait [2]time.Duration // on others
}

// Draw is what a request costs. It follows from its id alone, so that it is the same at every server and in every run.
func (c Class) Draw(seed uint64, id string) (work, wait time.Duration) {
	h := fnv.New64a()
	besteffort.IgnoreResult(io.WriteString(h, id))
	random := rand.New(rand.NewPCG(h.Sum64(), seed))
	between := func(r [2]time.Duration) time.Duration {
		return r[0] + time.Duration(random.Float64()*float64(r[1]-r[0]))
	}
	return between(c.Work), between(c.Wait)
}

// ConnFaults are faults of connections, beside the model's Faults.
type ConnFaults struct {
	ResetRatio   float64 // share of requests after which the connection breaks, having run
	CorruptRatio float64 // share of answers that are noise
	ReadsNothing bool    // what comes stays in the kernel, as for a stopped process; it is taken, and counts as received, when this ends
}

// FormServer is a Server on a loopback socket, by the platform's HTTP/1.1 protocol: 200 with a load report, 500, or 503
// with X-Not-Processed for a rejected request. A client that disconnects stops nothing. It is safe for concurrent use.
type FormServer struct {
	Name string
	Addr string // host and port

	rejectsAbandoned bool

	seed    uint64
	classes map[string]Class
	epoch   time.Time
	srv     *http.Server
	served  sync.WaitGroup

	reads    readGate
	listener *limitedListener

	mu             sync.Mutex
	model          *Server
	connFaults     ConnFaults
	random         *rand.Rand
	lastArrival    time.Time                  // of the latest request's first bytes, as the kernel received them
	pending        map[uint64]chan Completion // of requests that wait for their end
	arrived        uint64
	timer          *time.Timer // wakes the model
	corruptedConns []net.Conn  // connections with a corrupt answer that stay open
	closed         bool
	done           chan struct{} // closed with the server
}

// ListenOptions are the address and the connection limits of a form server.
type ListenOptions struct {
	Addr        string        // host and port; empty: a free one
	IdleTimeout time.Duration // a connection idle for so long is closed
	MaxConns    int           // open at a time; further ones are closed at once. 0: no limit
	// RejectsAbandoned: a request whose sender has closed its connection before the server takes it is not run.
	RejectsAbandoned bool
	// OmitsContinue: no 100 (Continue) is sent to a request that expects one; its body is read all the same.
	OmitsContinue bool
}

// addrInUseRetryTime is how long Listen retries while the address belongs to an earlier process or server.
const addrInUseRetryTime = 2 * time.Second

// idleTimerInterval is what the timer is set to while nothing is due.
const idleTimerInterval = time.Hour

// Listen starts a form server on a loopback address. Times of the model count from the epoch.
func Listen(name string, model *Server, classes []Class, seed uint64, epoch time.Time, limits ListenOptions) (*FormServer, error) {
	if limits.Addr == "" {
		limits.Addr = "127.0.0.1:0"
	}
	l, err := listenStamped(limits.Addr)
	for end := time.Now().Add(addrInUseRetryTime); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); l, err = listenStamped(limits.Addr) {
		time.Sleep(5 * time.Millisecond) // the life before has just ended there
	}
	if err != nil {
		return nil, fmt.Errorf("form server %s: %w", name, err)
	}
	f := &FormServer{Name: name, Addr: l.Addr().String(), rejectsAbandoned: limits.RejectsAbandoned, seed: seed, classes: map[string]Class{}, epoch: epoch, model: model,
		random: rand.New(rand.NewPCG(seed, 1)), pending: map[uint64]chan Completion{}, done: make(chan struct{})}
	for _, c := range classes {
		f.classes[c.Name] = c
	}
	f.timer = time.AfterFunc(idleTimerInterval, f.wake)
	f.srv = &http.Server{Handler: f, IdleTimeout: limits.IdleTimeout, ReadHeaderTimeout: limits.IdleTimeout, ConnState: f.connState,
		ConnContext: withConn}
	f.listener = &limitedListener{Listener: l, maxConns: limits.MaxConns, omitsContinue: limits.OmitsContinue,
		gate: &f.reads, arrived: f.noteArrival, open: map[*countedConn]bool{}}
	f.served.Go(func() { besteffort.Ignore(f.srv.Serve(f.listener)) })
	return f, nil
}

// now is the model's time.
func (f *FormServer) now() time.Duration { return time.Since(f.epoch) }

// wake lets the model do what is due.
func (f *FormServer) wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
}

// advance brings the model to now, delivers completions and sets the timer; f.mu is held.
func (f *FormServer) advance() {
	now := f.now()
	f.deliver(f.model.Advance(now))
	if f.closed {
		return
	}
	if at, ok := f.model.NextTimer(); ok {
		f.timer.Reset(at - now)
	}
}

// deliver passes completions to the requests that wait for them; f.mu is held.
func (f *FormServer) deliver(ended []Completion) {
	for _, d := range ended {
		if wait := f.pending[d.ID]; wait != nil {
			delete(f.pending, d.ID)
			wait <- d
		}
	}
}

// ChangeFaults changes the server's faults. The connections of requests that a kill drops break without an answer.
func (f *FormServer) ChangeFaults(change func(*Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliver(f.model.ChangeFaults(f.now(), change))
	f.advance()
}

// SetConnFaults changes the faults of the connections.
func (f *FormServer) SetConnFaults(w ConnFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connFaults = w
	f.reads.set(w.ReadsNothing)
}

// InFlight counts the requests in the server.
func (f *FormServer) InFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.model.InFlight()
}

// Unread counts the requests that have come, whole or in part, while the server read nothing, and that it has not taken since. A server
// that rejects abandoned requests doesn't count those.
func (f *FormServer) Unread() int {
	return f.listener.count(func(c *countedConn) bool { return c.isUnread() && (!f.rejectsAbandoned || !c.hasPeerClosed()) })
}

// LastArrival is when the first bytes of the latest request came, though the server may not have read them yet; zero if none has.
func (f *FormServer) LastArrival() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastArrival
}

// Arrived returns how many complete requests have arrived.
func (f *FormServer) Arrived() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(f.arrived)
}

// Collapsed reports whether the server was overloaded while warming up and is down for good.
func (f *FormServer) Collapsed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.model.Collapsed()
}

// MaxRequests returns how many requests the server holds at most, in slots and in its queue.
func (f *FormServer) MaxRequests() int { return f.model.MaxRequests() }

// Close ends the server as a killed process ends: its connections break.
func (f *FormServer) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	close(f.done)
	f.timer.Stop()
	for _, c := range f.corruptedConns {
		besteffort.Close(c)
	}
	f.corruptedConns = nil
	f.mu.Unlock()
	besteffort.Close(f.srv)
	f.served.Wait()
}

// arrive brings a request to the model, which counts it as received at that time. The channel gets its end, if it is to have one.
func (f *FormServer) arrive(r Request, received time.Time) (ArrivalResult, <-chan Completion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	f.arrived++
	r.ID = f.arrived
	r.ReadDelay = max(0, time.Since(received))
	hung := f.model.Faults().Hung
	verdict := f.model.Arrive(f.now(), r, f.arrived)
	if verdict != Accepted {
		return verdict, nil
	}
	end := make(chan Completion, 1)
	if !hung { // what comes in a hang is never answered: nothing is kept of it
		f.pending[r.ID] = end
	}
	f.advance()
	return verdict, end
}

// maxBodyBytes is the longest request body that a server accepts.
const maxBodyBytes = 64 << 10

// ServeHTTP serves a request.
func (f *FormServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connOf(r.Context())
	cameAt := conn.beginRequest()
	defer conn.endRequest()
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, known := f.classes[name]
	id := r.Header.Get("X-Request-ID")
	if !known || id == "" {
		http.Error(w, "unknown class, or no X-Request-ID", http.StatusNotFound)
		return
	}
	f.noteArrival(cameAt)
	if !conn.pass() { // reading the body would send 100 (Continue)
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, "the body is not whole", http.StatusBadRequest)
		return
	}
	received, open := f.receive(conn)
	if !open {
		panic(http.ErrAbortHandler)
	}
	work, wait := class.Draw(f.seed, id)
	verdict, end := f.arrive(Request{Class: name, IdempotencyKey: r.Header.Get("Idempotency-Key"), RouteKey: r.Header.Get("X-Route-Key"),
		Work: work, Wait: wait, TimeLeft: timeLeft(r.Header)}, received)
	switch verdict {
	case Unreachable:
		panic(http.ErrAbortHandler) // the connection breaks
	case Rejected:
		f.report(w)
		w.Header().Set("X-Not-Processed", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	select {
	case done := <-end:
		f.answer(w, id, done)
	case <-r.Context().Done(): // the work goes on
	case <-f.done:
		panic(http.ErrAbortHandler)
	}
}

// noteArrival notes that the first bytes of a request came at that time.
func (f *FormServer) noteArrival(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.lastArrival) {
		f.lastArrival = at
	}
}

// receive returns when a request that was read whole counts as received. A server that reads nothing takes it only when that
// ends. open is false if the server was closed before, or the request was given up and the server rejects such ones.
func (f *FormServer) receive(conn *countedConn) (at time.Time, open bool) {
	if !conn.pass() {
		return time.Time{}, false
	}
	at, wasHeld := conn.takeRequest()
	return at, !wasHeld || !f.rejectsAbandoned || !conn.hasPeerClosed()
}

// timeLeft returns for how long the sender still waited when it wrote the request; 0 where it does not say.
func timeLeft(h http.Header) time.Duration {
	text := h.Get("X-Timeout")
	for suffix, unit := range map[string]time.Duration{"m": time.Millisecond, "u": time.Microsecond} {
		if number, ok := strings.CutSuffix(text, suffix); ok {
			n, err := strconv.ParseInt(number, 10, 64)
			if err == nil {
				return time.Duration(n) * unit
			}
		}
	}
	return 0
}

// answer answers what has run, with the faults of the wire.
func (f *FormServer) answer(w http.ResponseWriter, id string, done Completion) {
	f.mu.Lock()
	reset, corrupt := f.random.Float64() < f.connFaults.ResetRatio, f.random.Float64() < f.connFaults.CorruptRatio
	f.mu.Unlock()
	switch {
	case reset:
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
				besteffort.Ignore(tcp.SetLinger(0))
			}
			besteffort.Close(c)
		}
	case corrupt:
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil { // left open: it is of no further use
			besteffort.IgnoreResult(io.WriteString(c, "\x16\x03\x01 this is no answer"))
			f.leaveOpen(c)
		}
	case done.Failed:
		f.report(w)
		http.Error(w, "it failed", http.StatusInternalServerError)
	default:
		f.report(w)
		text := "form " + id + " by " + f.Name + "\n"
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		besteffort.IgnoreResult(io.WriteString(w, text))
	}
}

// maxCorruptedConns is how many connections with a corrupt answer stay open; beyond it the oldest is closed.
const maxCorruptedConns = 64

// leaveOpen keeps a connection with a corrupt answer open.
func (f *FormServer) leaveOpen(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.corruptedConns = append(f.corruptedConns, c); len(f.corruptedConns) > maxCorruptedConns || f.closed {
		besteffort.Close(f.corruptedConns[0])
		f.corruptedConns = f.corruptedConns[1:]
	}
}

// report puts the load report into an answer's head.
func (f *FormServer) report(w http.ResponseWriter) {
	f.mu.Lock()
	l := f.model.LoadReport(f.now())
	f.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("util=%.3f,qps=%.2f,eps=%.2f", l.Utilization, l.ServedRate, l.ErrorRate))
}

// connState adds the work of handshakes.
func (f *FormServer) connState(_ net.Conn, state http.ConnState) {
	if state != http.StateNew {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	f.model.Connect(f.now())
	f.advance()
}

// limitedListener closes connections beyond a limit at once, as a full connection table does.
type limitedListener struct {
	net.Listener
	maxConns      int
	omitsContinue bool
	gate          *readGate
	arrived       func(at time.Time) // is called by connections

	mu   sync.Mutex
	open map[*countedConn]bool
}

// Accept returns the next connection that there is room for.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		stalling, err := newStallingConn(c, l.gate, l.arrived)
		if err != nil {
			return nil, err
		}
		if counted := (&countedConn{stallingConn: stalling, l: l}); l.add(counted) {
			return counted, nil
		}
		besteffort.Close(c)
	}
}

// add reports whether there is room for a connection, and counts it as open if so.
func (l *limitedListener) add(c *countedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxConns > 0 && len(l.open) >= l.maxConns {
		return false
	}
	l.open[c] = true
	return true
}

// count counts the open connections for which is reports true.
func (l *limitedListener) count(is func(c *countedConn) bool) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if is(c) {
			n++
		}
	}
	return n
}

// countedConn gives its place in a limitedListener back when it is closed first.
type countedConn struct {
	*stallingConn
	l *limitedListener
}

// continueResponse is what net/http writes, in one call, before it reads the body of a request that expects it.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// Write writes to the connection, except for 100 (Continue) where the server omits that: net/http can't be told to.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.l.omitsContinue && string(p) == continueResponse {
		return len(p), nil
	}
	return c.stallingConn.Write(p)
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.open, c)
	c.l.mu.Unlock()
	return c.stallingConn.Close()
}

// SetLinger is that of the connection: 0 makes a close a reset.
func (c *countedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
