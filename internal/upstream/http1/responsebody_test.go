package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"appleledge/internal/besteffort"
)

// bodyForms are heads of responses, and what makes a body of its parts.
var bodyForms = map[string]struct {
	head   func(size int) string
	encode func(parts []string) string
}{
	"length": {func(size int) string { return fmt.Sprintf("Content-Length: %d\r\n", size) }, func(parts []string) string { return strings.Join(parts, "") }},
	"close":  {func(int) string { return "Connection: close\r\n" }, func(parts []string) string { return strings.Join(parts, "") }},
	"chunks": {func(int) string { return "Transfer-Encoding: chunked\r\n" }, encodeChunks},
}

// encodeChunks makes chunks of the parts, some with extensions, and a trailer.
func encodeChunks(parts []string) string {
	var out strings.Builder
	for i, part := range parts {
		if part != "" {
			fmt.Fprintf(&out, "%X%s\r\n%s\r\n", len(part), []string{"", ";a=b", " ; c"}[i%3], part)
		}
	}
	return out.String() + "0\r\nX-Sum: 1\r\n\r\n"
}

// drawParts draws a body in parts.
func drawParts(r *rand.Rand) (parts []string) {
	for range 1 + r.IntN(6) {
		parts = append(parts, strings.Repeat(string(rune('a'+r.IntN(26))), r.IntN([]int{3, 300, 9000}[r.IntN(3)])))
	}
	return parts
}

// A server writes its response in lumps that begin and end anywhere, and the reader's deadline passes between any two of them. What has come is
// read at once, and in the end all of it.
func TestResponseBodyIsReadAsItComes(t *testing.T) {
	for name, form := range bodyForms {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 76))
			for range 200 {
				parts := drawParts(r)
				plain := strings.Join(parts, "")
				wire := form.encode(parts)
				synctest.Test(t, func(t *testing.T) { readInLumps(t, r, form.head(len(plain)), wire, plain) })
			}
		})
	}
}

func readInLumps(t *testing.T, r *rand.Rand, head, wire, plain string) {
	t.Helper()
	near, far := net.Pipe()
	var writer sync.WaitGroup
	defer writer.Wait()
	defer besteffort.Close(near)
	writer.Go(func() {
		defer besteffort.Close(far)
		besteffort.IgnoreResult(io.WriteString(far, "HTTP/1.1 200 OK\r\n"+head+"\r\n"))
		for left := wire; left != ""; {
			n := 1 + r.IntN(min(len(left), 5000))
			besteffort.IgnoreResult(io.WriteString(far, left[:n]))
			left = left[n:]
			time.Sleep(time.Second)
		}
	})
	in := bufio.NewReader(near)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body := newResponseBody(in, resp)
	var got bytes.Buffer
	p := make([]byte, 3000)
	for {
		besteffort.Ignore(near.SetReadDeadline(time.Now().Add(300 * time.Millisecond)))
		n, err := body.Read(p)
		got.Write(p[:n])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("behind %d of %d bytes: %v", got.Len(), len(plain), err)
		}
	}
	if got.String() != plain {
		t.Fatalf("%d bytes of %d, or others", got.Len(), len(plain))
	}
}

// Half a chunk, half a size or the end of line behind a chunk has come, and then nothing for a while. What has come of the data is returned at
// once: net/http's reader waits for the rest of the chunk, and a client got nothing meanwhile (issue 76, evidence 2).
func TestDataOfAChunkIsNotHeldBack(t *testing.T) {
	for _, x := range []struct{ wire, want string }{
		{"a\r\nhello", "hello"}, {"5\r\nhello", "hello"}, {"5\r\nhello\r", "hello"}, {"5\r\nhello\r\n", "hello"}, {"5\r\nhello\r\n4", "hello"},
		{"5\r\nhello\r\n4\r\n", "hello"}, {"5\r\nhello\r\n4\r\nyo", "helloyo"}, {"5\r\nhello\r\n0\r\n", "hello"},
	} {
		t.Run(fmt.Sprintf("%q", x.wire), func(t *testing.T) {
			near, far := net.Pipe()
			defer besteffort.Close(near)
			go func() { besteffort.IgnoreResult(io.WriteString(far, x.wire)) }()
			body := &responseBody{in: bufio.NewReader(near), framing: framedByChunks}
			p := make([]byte, 100)
			besteffort.Ignore(near.SetReadDeadline(time.Now().Add(5 * time.Second)))
			n, err := body.Read(p)
			if err != nil || string(p[:n]) != x.want {
				t.Errorf("%q, %v", p[:n], err)
			}
			besteffort.Ignore(near.SetReadDeadline(time.Now().Add(time.Millisecond)))
			if n, err := body.Read(p); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("then %d bytes, %v", n, err)
			}
		})
	}
}

// What is no sequence of chunks, or ends before its last one, is an error and never a complete body.
func TestMalformedBodyIsNoCompleteOne(t *testing.T) {
	for _, wire := range []string{
		"", "5", "5\r\n", "5\r\nhel", "5\r\nhello", "5\r\nhello\r\n", "5\r\nhello\r\n0\r\n", "5\r\nhelloX\r\n0\r\n\r\n", "5\nhello\r\n0\r\n\r\n", "\r\n",
		"x\r\n", "-1\r\n", "+5\r\nhello\r\n0\r\n\r\n", "1000000000000000\r\n", "5\r\r\nhello\r\n0\r\n\r\n", "0\r\nno field\r\n\r\n",
		strings.Repeat("1;"+strings.Repeat("e", 1000)+"\r\nx\r\n", 100) + "0\r\n\r\n", strings.Repeat("1", 5000),
		"0\r\n" + strings.Repeat("A: b\r\n", 5000) + "\r\n",
	} {
		body := &responseBody{in: bufio.NewReader(strings.NewReader(wire)), framing: framedByChunks}
		if got, err := io.ReadAll(body); err == nil {
			t.Errorf("%.30q: %q", wire, got)
		}
	}
	body := &responseBody{in: bufio.NewReader(strings.NewReader("hell")), framing: framedByLength, left: 5}
	if got, err := io.ReadAll(body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%q, %v", got, err)
	}
}
