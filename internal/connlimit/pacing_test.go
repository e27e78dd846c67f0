package connlimit

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"appleledge/internal/besteffort"
)

// pacedServer serves a handler that takes its turn with each request.
func pacedServer(t *testing.T, cores float64) *Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(inner, 100, Options{Cores: cores})
	server := &http.Server{ConnState: ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { Pace(r.Context()) })}
	go func() { besteffort.Ignore(server.Serve(l)) }()
	t.Cleanup(func() { besteffort.Close(server) })
	return l
}

// A client writes requests one behind the other and waits for no answer. All its connections together get no more turns than their rate.
func TestConnectionsAtFullSpeedShareOneRate(t *testing.T) {
	const lasts, connections = 500 * time.Millisecond, 3
	l := pacedServer(t, 0.1)
	for range connections {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { besteffort.Close(c) })
		go func() { besteffort.IgnoreResult(io.Copy(io.Discard, c)) }()
		go func() {
			for text := strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 100); ; {
				if _, err := io.WriteString(c, text); err != nil {
					return
				}
			}
		}()
	}
	time.Sleep(lasts)
	most := uint64(0.1*pacedStepsPerSecond*lasts.Seconds()*2) + pacedBurst + connections // twice as many, as the machine may be busy
	if n := l.PacedCount(); n == 0 || n > most {
		t.Errorf("%d turns, at most %d are due", n, most)
	}
}

// A client sends each request when it has the answer to the one before, as fast as it can. It is not paced.
func TestClientThatWaitsIsNotPaced(t *testing.T) {
	l := pacedServer(t, 0.01)
	for range 5 * maxUnawaited {
		resp, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
		besteffort.Close(resp.Body)
	}
	if n := l.PacedCount(); n != 0 {
		t.Errorf("%d turns were paced", n)
	}
}
