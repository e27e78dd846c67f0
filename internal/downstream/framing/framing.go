// Package framing is the one judge of how the bytes of a client's connection divide into requests. It follows them before net/http
// does, and hands over none of a message that the two could divide in different ways: a length beside a transfer encoding, which may
// hide a second request in the body of the first (RFC 9112, section 6.3), folded lines (section 5.2), and a head with more fields than
// its memory allows for. It does no I/O.
package framing

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// longestLine is the longest line that is looked at, in bytes: net/http takes no head that long.
	longestLine = 64 << 10

	// maxFields is the number of fields of a head. A limit of bytes does not bound what a head takes when it is parsed: a field of two
	// letters takes a hundred bytes.
	maxFields = 100
)

// Verdict is what is wrong with a message; empty: nothing that this package looks for.
type Verdict string

// What may be wrong.
const (
	LengthAndTransferEncoding   Verdict = "a length beside a transfer encoding"
	ConflictingLengths          Verdict = "two lengths"
	ObsoleteLineFolding         Verdict = "a folded line"
	UnsupportedTransferEncoding Verdict = "a transfer encoding other than chunked"
	Desynchronized              Verdict = "messages that can't be told apart"
	TooManyFields               Verdict = "too many fields in a head"
)

// Error is the error of a connection on which a message with a verdict came.
type Error struct{ Verdict Verdict }

func (e *Error) Error() string { return "framing: " + string(e.Verdict) }

// Scanner follows one connection. The zero value stands before the first request.
//
// Invariant: as long as no verdict was given, state and left say where the next byte stands, by the rules that net/http's server
// reads by. After a verdict nothing is followed or handed over any more.
type Scanner struct {
	state   state
	line    []byte // that has begun
	left    int64  // bytes of the body, or of the chunk, that are to come
	head    head
	heads   int // that have come whole
	verdict Verdict
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
	fields  int
	modern  bool // it is HTTP/1.1, which alone has transfer encodings
	lengths int
	length  int64
	codings int
	wrong   Verdict
}

// Admit follows bytes as they come. It returns how many of them may be handed over to net/http, and the verdict, if there is one: the
// line that shows what is wrong is held back, so that no head with a verdict is ever whole.
func (s *Scanner) Admit(p []byte) (admitted int, v Verdict) {
	for admitted < len(p) && s.verdict == "" {
		rest := p[admitted:]
		if s.state == inBody || s.state == inChunk {
			admitted += s.skipContent(rest)
			continue
		}
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			if s.line = append(s.line, rest...); len(s.line) <= longestLine {
				return len(p), ""
			}
			s.stop(Desynchronized)
			break
		}
		line := rest[:end]
		if len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		if s.took(bytes.TrimSuffix(line, []byte{'\r'})); s.verdict == "" {
			admitted += end + 1
			s.line = s.line[:0]
		}
	}
	return admitted, s.verdict
}

// Heads returns how many heads have come whole.
func (s *Scanner) Heads() int { return s.heads }

// Verdict returns what is wrong with a message that has come; empty: nothing.
func (s *Scanner) Verdict() Verdict { return s.verdict }

// skipContent takes bytes of a body or of a chunk, and returns how many.
func (s *Scanner) skipContent(p []byte) int {
	n := min(int64(len(p)), s.left)
	if s.left -= n; s.left > 0 {
		return int(n)
	}
	if s.state == inBody {
		s.state = inHead
	} else {
		s.state = inChunkEnd
	}
	return int(n)
}

// stop gives up: what comes behind can't be read with certainty.
func (s *Scanner) stop(v Verdict) { s.verdict, s.line = v, nil }

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
	if h.fields++; h.fields > maxFields {
		s.stop(TooManyFields)
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
	s.heads++
	switch {
	case h.codings > 0:
		s.state = inChunkSize
	case h.length > 0:
		s.state, s.left = inBody, h.length
	}
}
