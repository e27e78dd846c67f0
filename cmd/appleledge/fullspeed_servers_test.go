package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

const floodedConnections = 6

// floodAnswer is what a server writes at full speed: a beginning, and a text again and again.
type floodAnswer struct {
	begin, text string
}

// floodAnswers returns those that there are, by name.
func floodAnswers() map[string]floodAnswer {
	const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	return map[string]floodAnswer{
		"long answer":     {"HTTP/1.1 200 OK\r\nContent-Length: 34000000\r\n\r\n", strings.Repeat("x", 1000)},
		"without length":  {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", strings.Repeat("x", 1000)},
		"tiny chunks":     {chunkedHead, "1\r\nx\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"a head":          {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"trailers":        {chunkedHead + "0\r\n", "A: b\r\n"},
		"a chunk's line":  {chunkedHead, "1;a=b;"},
		"short answers":   {"", agenttest.Served},
	}
}

// serveFloods answers as the query of the request says, or shortly.
func serveFloods(c net.Conn) {
	defer besteffort.Close(c)
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		besteffort.IgnoreResult(io.Copy(io.Discard, r.Body))
		flood, isFlood := floodAnswers()[r.URL.Query().Get("flood")]
		if !isFlood {
			if _, err := io.WriteString(c, agenttest.Served); err != nil {
				return
			}
			continue
		}
		batch := strings.Repeat(flood.text, floodBatch)
		_, err = io.WriteString(c, flood.begin)
		for err == nil {
			_, err = io.WriteString(c, batch)
		}
		return
	}
}

// askForFloods asks for answers at full speed, one behind the other, until the context ends.
func (a *limitedAgent) askForFloods(ctx context.Context, query string) {
	for ctx.Err() == nil {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.addr)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { besteffort.Close(c) })
		besteffort.IgnoreResult(fmt.Fprintf(c, "GET /form-check?%s HTTP/1.1\r\nHost: a\r\nX-Request-ID: %016x\r\nX-Tenant-Id: glasgow-airport\r\nX-Timeout: 2000m\r\nConnection: close\r\n\r\n",
			query, a.lastID.Add(1)))
		besteffort.IgnoreResult(io.Copy(io.Discard, c))
		stop()
		besteffort.Close(c)
	}
}

// Servers write answers at full speed, in every form that may go on for long, and their clients read them as fast. Usual clients are answered in
// time beside them: tiny chunks and trailers without an end took the core, and half of the usual answers took 0.2 s. CI plays these two.
func TestServersAtFullSpeedDoNotDelayOthers(t *testing.T) {
	names := []string{"tiny chunks", "trailers"}
	if isLongRun() {
		names = slices.Sorted(maps.Keys(floodAnswers()))
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			var servers []string
			for range serverCount {
				l := agenttest.Listen(t)
				agenttest.ServeConns(t, l, serveFloods)
				servers = append(servers, l.Addr().String())
			}
			a := limitedOptions{memoryMB: 32, sockets: 1024, operated: true, servers: servers}.start(t)
			query := "flood=" + url.QueryEscape(name)
			a.checkBesideFlood(floodedConnections, 3*time.Second, func(ctx context.Context) { a.askForFloods(ctx, query) })
		})
	}
}
