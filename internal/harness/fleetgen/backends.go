package fleetgen

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"appleledge/internal/besteffort"
)

// Backends answer requests at the addresses of a fleet's servers, all alike: 200 with a few bytes and a load report. A
// port that can't be opened is left closed, as that of a server that has died.
type Backends struct {
	// Busy is how long an answer takes.
	Busy time.Duration

	once    sync.Once
	server  *http.Server
	serving sync.WaitGroup
}

// Place opens a port of the loopback for a server. It is a place of New.
func (b *Backends) Place(int) (host string, port int) {
	b.once.Do(func() {
		b.server = &http.Server{Handler: http.HandlerFunc(b.answer), ReadHeaderTimeout: time.Minute}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1", 1 // nothing listens there
	}
	b.serving.Go(func() { besteffort.Ignore(b.server.Serve(l)) })
	return "127.0.0.1", l.Addr().(*net.TCPAddr).Port
}

func (b *Backends) answer(w http.ResponseWriter, r *http.Request) {
	besteffort.IgnoreResult(io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20)))
	time.Sleep(b.Busy)
	w.Header().Set("X-Server-Load", "util=0.5,qps=10,eps=0")
	besteffort.IgnoreResult(io.WriteString(w, "fine"))
}

// Close ends all of them.
func (b *Backends) Close() {
	if b.server != nil {
		besteffort.Close(b.server)
	}
	b.serving.Wait()
}
