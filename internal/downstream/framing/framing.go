// Package framing follows the requests on a connection as their bytes come, and says of each what its head holds that net/http
// does not tell: a length beside a transfer encoding, which may hide a second request in the body of the first (RFC 9112,
// section 6.3), and folded lines (section 5.2). It does no I/O.
package framing

import (
	"bytes"
	"strconv"
	"strings"
)

// longestLine is the longest line that is looked at: net/http takes no head that long.
const longestLine = 64 << 10

// mostWaiting is how many requests may have come ahead of the one that is served.
const mostWaiting = 64

// Verdict is what is wrong with a head; empty: nothing that this package looks for.
type Verdict string

// What may be wrong.
const (
	LengthAndTransferEncoding   Verdict = "a length beside a transfer encoding"
	ConflictingLengths          Verdict = "two lengths"
	ObsoleteLineFolding         Verdict = "a folded line"
	UnsupportedTransferEncoding Verdict = "a transfer encoding other than chunked"
	Desynchronized              Verdict = "messages that can't be told apart"
)

// Scanner follows one connection. The zero value stands before the first request.
//
// Invariant: as long as no verdict was given, state and left say where the next byte stands, by the rules that net/http's server
// reads by. After a verdict nothing is followed any more: every later request gets it as well.
type Scanner struct {
	state state
	line  []byte // that has begun
	left  int64  // bytes of the body, or of the chunk, that are to come
	head  head
	told  []Verdict // of requests whose heads have come whole
	end   Verdict
}

type state int

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// head is what the lines of a head have said so far.
type head struct {
	begun   bool // a line other than an empty one has come
	modern  bool // it is HTTP/1.1, which alone has transfer encodings
	lengths int
	length  int64
	codings int
	wrong   Verdict
}

// Next returns what is wrong with the next request whose head has come whole, in the order of the requests; Lost where that can't
// be told.
func (s *Scanner) Next() Verdict {
	if len(s.told) == 0 {
		if s.end != "" {
			return s.end
		}
		return Desynchronized
	}
	v := s.told[0]
	s.told = s.told[1:]
	return v
}

// Write follows bytes as they come.
func (s *Scanner) Write(p []byte) {
	for len(p) > 0 && s.end == "" {
		if s.state == inBody || s.state == inChunk {
			n := min(int64(len(p)), s.left)
			p = p[n:]
			if s.left -= n; s.left == 0 {
				s.state++ // from a chunk to its end
				if s.state == inChunkSize {
					s.state = inHead
				}
			}
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			if s.line = append(s.line, p...); len(s.line) > longestLine {
				s.stop(Desynchronized)
			}
			return
		}
		line := p[:end]
		if len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		p = p[end+1:]
		s.took(bytes.TrimSuffix(line, []byte{'\r'}))
		s.line = s.line[:0]
	}
}

// stop gives up: what comes behind can't be read with certainty.
func (s *Scanner) stop(v Verdict) { s.end, s.line = v, nil }

// took takes a line.
func (s *Scanner) took(line []byte) {
	switch s.state {
	case inHead:
		s.headLine(line)
	case inChunkSize:
		size, _, _ := strings.Cut(string(line), ";")
		n, err := strconv.ParseUint(strings.Trim(size, " \t"), 16, 62)
		switch {
		case err != nil:
			s.stop(Desynchronized)
		case n == 0:
			s.state = inTrailer
		default:
			s.state, s.left = inChunk, int64(n)
		}
	case inChunkEnd:
		if s.state = inChunkSize; len(line) != 0 {
			s.stop(Desynchronized)
		}
	case inTrailer:
		if len(line) == 0 {
			s.state = inHead
		}
	}
}

func (s *Scanner) headLine(line []byte) {
	h := &s.head
	switch {
	case len(line) == 0 && !h.begun: // empty lines ahead of a request
		return
	case len(line) == 0:
		s.headEnds()
		return
	case !h.begun:
		h.begun, h.modern = true, bytes.HasSuffix(line, []byte(" HTTP/1.1"))
		return
	case line[0] == ' ' || line[0] == '\t':
		h.wrong = ObsoleteLineFolding
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.Trim(value, " \t")
	switch {
	case is(name, "Content-Length"):
		n, err := strconv.ParseUint(string(value), 10, 63)
		if h.lengths++; err != nil || h.lengths > 1 && int64(n) != h.length {
			h.wrong = ConflictingLengths
		}
		h.length = int64(n)
	case is(name, "Transfer-Encoding"):
		if h.codings++; h.codings > 1 || !h.modern || !is(value, "chunked") {
			h.wrong = UnsupportedTransferEncoding
		}
	}
}

func is(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

func (s *Scanner) headEnds() {
	h := s.head
	s.head = head{}
	if h.wrong == "" && h.lengths > 0 && h.codings > 0 {
		h.wrong = LengthAndTransferEncoding
	}
	if h.wrong != "" {
		s.stop(h.wrong)
		return
	}
	if len(s.told) == mostWaiting {
		s.stop(Desynchronized)
		return
	}
	s.told = append(s.told, "")
	switch {
	case h.codings > 0:
		s.state = inChunkSize
	case h.length > 0:
		s.state, s.left = inBody, h.length
	}
}
