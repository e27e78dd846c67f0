package framing

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

const start = "POST /refund-record HTTP/1.1\r\nHost: a\r\n"

func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []Verdict
	}{
		{"a length", start + "Content-Length: 2\r\n\r\nhi", []Verdict{"", Desynchronized}},
		{"requests behind one another", start + "Content-Length: 2\r\n\r\nhi" + start + "\r\n\r\n" + start + "\r\n", []Verdict{"", "", "", Desynchronized}},
		{"chunks with extensions and trailers", start + "Transfer-Encoding: chunked\r\n\r\n2;a=\"b\"\r\nhi\r\n0\r\nX: y\r\n\r\n" + start + "\r\n", []Verdict{"", "", Desynchronized}},
		{"lines that end in a bare LF", "POST / HTTP/1.1\nHost: a\nContent-Length: 1\n\nx" + start + "\r\n", []Verdict{"", "", Desynchronized}},
		{"a length beside chunks", start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", []Verdict{LengthAndTransferEncoding, LengthAndTransferEncoding}},
		{"and the other way round, in other letters", start + "transfer-ENCODING: Chunked\r\ncontent-length:4\r\n\r\n", []Verdict{LengthAndTransferEncoding, LengthAndTransferEncoding}},
		{"behind a good one", start + "\r\n" + start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", []Verdict{"", LengthAndTransferEncoding, LengthAndTransferEncoding}},
		{"two lengths", start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n", []Verdict{ConflictingLengths}},
		{"the same length twice", start + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi", []Verdict{"", Desynchronized}},
		{"a list of lengths", start + "Content-Length: 2, 2\r\n\r\nhi", []Verdict{ConflictingLengths}},
		{"a folded line", start + "X: a\r\n b\r\n\r\n", []Verdict{ObsoleteLineFolding}},
		{"a folded transfer encoding", start + "Transfer-Encoding:\r\n chunked\r\nContent-Length: 4\r\n\r\n", []Verdict{UnsupportedTransferEncoding}},
		{"codings but chunked", start + "Transfer-Encoding: gzip, chunked\r\n\r\n", []Verdict{UnsupportedTransferEncoding}},
		{"chunks of HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", []Verdict{UnsupportedTransferEncoding}},
		{"two codings", start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", []Verdict{UnsupportedTransferEncoding}},
		{"a chunk with no size", start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", []Verdict{"", Desynchronized}},
		{"a head that has not come whole", start, []Verdict{Desynchronized}},
	} {
		for _, size := range []int{1, 7, 1 << 20} { // however it is cut
			s := &Scanner{}
			for at := 0; at < len(c.text); at += size {
				s.Write([]byte(c.text[at:min(len(c.text), at+size)]))
			}
			for i, want := range c.want {
				if got := s.Next(); got != want && (want == "" || want == Desynchronized || got != ObsoleteLineFolding) {
					t.Errorf("%s, in pieces of %d: request %d is %q, want %q", c.name, size, i, got, want)
				}
			}
		}
	}
}

func TestBounds(t *testing.T) {
	s := &Scanner{}
	s.Write([]byte(start + "X: " + strings.Repeat("x", 2*longestLine)))
	if s.line != nil || s.Next() != Desynchronized {
		t.Error("an endless line is kept")
	}
	s = &Scanner{}
	for range 2 * mostWaiting {
		s.Write([]byte(start + "\r\n"))
	}
	if len(s.told) > mostWaiting {
		t.Errorf("%d requests wait", len(s.told))
	}
}

// Whatever net/http reads as requests, the scanner sees as the same ones, or says that something is wrong: it never takes for
// good what net/http reads otherwise.
func FuzzAgreesWithNetHTTP(f *testing.F) {
	for _, text := range []string{start + "Content-Length: 2\r\n\r\nhi" + start + "\r\n", start + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" + start + "\r\n",
		start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", start + "X: a\r\n b\r\n\r\n", "\r\n\n" + start + "Content-Length : 3\r\n\r\nabc"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s := &Scanner{}
		s.Write([]byte(text))
		in := bufio.NewReader(strings.NewReader(text))
		for n := 0; ; n++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			v := s.Next()
			if v != "" {
				return
			}
			both := len(r.TransferEncoding) > 0 && r.ContentLength >= 0
			if both {
				t.Fatalf("request %d of %q has both and passes", n, text)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			// What net/http reads next must begin where the scanner has the next head.
			rest := &Scanner{}
			left, _ := in.Peek(in.Buffered())
			rest.Write(left)
			if len(rest.told) > 0 && rest.end == "" && s.end == "" && len(rest.told) != len(s.told) {
				t.Fatalf("after request %d of %q net/http sees %d more, the scanner %d", n, text, len(rest.told), len(s.told))
			}
		}
	})
}
