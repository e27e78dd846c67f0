package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// Limits of a body in chunks.
const (
	maxChunkSizeDigits = 15       // hexadecimal ones
	chunkOverhead      = 16       // bytes of overhead that a chunk may have besides twice its data
	maxExcessOverhead  = 16 << 10 // bytes of overhead beyond that, and of trailers, in a whole body
)

// bodyFraming says how the end of a body is told (RFC 9112, section 6.3).
type bodyFraming int

const (
	framedByLength bodyFraming = iota
	framedByChunks
	framedByClose
)

// chunkPart is the part of a body in chunks that comes next.
type chunkPart int

const (
	chunkSize chunkPart = iota
	chunkData
	chunkEnd
	trailer
	bodyEnd
)

var errMalformedChunks = errors.New("malformed chunks")

// responseBody reads the body of a response as it comes: a read returns what is there, never waits for more behind that, and takes nothing of a
// part that has not come whole. So it goes on behind a time-out, which net/http's reader of chunks can't. It is not safe for concurrent use.
type responseBody struct {
	in      *bufio.Reader
	framing bodyFraming
	left    int64 // bytes of the body, or of the present chunk, that are still to come; of no meaning where the connection's end ends it
	next    chunkPart
	excess  int64 // bytes of overhead beyond what the chunks may have, with those of the trailers
}

// newResponseBody returns the reader of the body of a response whose head was read from in.
func newResponseBody(in *bufio.Reader, resp *http.Response) *responseBody {
	switch {
	case len(resp.TransferEncoding) > 0:
		return &responseBody{in: in, framing: framedByChunks}
	case resp.ContentLength >= 0:
		return &responseBody{in: in, framing: framedByLength, left: resp.ContentLength}
	}
	return &responseBody{in: in, framing: framedByClose}
}

// Read returns bytes that have come, and waits for the first of them. io.EOF means that the body is complete.
func (b *responseBody) Read(p []byte) (n int, err error) {
	if err := b.passOverhead(); err != nil {
		return 0, err
	}
	if n, err = b.readData(p); err != nil {
		return n, err
	}
	for n < len(p) && b.hasBuffered() {
		count, err := b.readPart(p[n:])
		if n += count; err != nil {
			return n, err
		}
	}
	return n, nil
}

// readPart reads what comes next: bytes of the body, or one line of the overhead.
func (b *responseBody) readPart(p []byte) (n int, err error) {
	if b.framing == framedByChunks && b.next != chunkData {
		return 0, b.passPart()
	}
	return b.readData(p)
}

// hasBuffered reports whether the body goes on, or ends, in what was read already.
func (b *responseBody) hasBuffered() bool {
	switch {
	case b.in.Buffered() == 0, b.framing == framedByLength && b.left == 0, b.next == bodyEnd:
		return false
	case b.framing != framedByChunks, b.next == chunkData:
		return true
	}
	buffered, err := b.in.Peek(b.in.Buffered())
	return err == nil && bytes.IndexByte(buffered, '\n') >= 0
}

// readData reads bytes of the body, where it has some that come next.
func (b *responseBody) readData(p []byte) (n int, err error) {
	if b.framing == framedByClose {
		return b.in.Read(p)
	}
	n, err = b.in.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); b.left == 0 && b.framing == framedByChunks {
		b.next = chunkEnd
	}
	return n, b.readError(err)
}

// readError returns the error of a read below: the connection's end is the body's only where nothing else tells that.
func (b *responseBody) readError(err error) error {
	if errors.Is(err, io.EOF) && b.framing != framedByClose {
		return io.ErrUnexpectedEOF
	}
	return err
}

// passOverhead reads up to the next bytes of the body. At its end it returns io.EOF.
func (b *responseBody) passOverhead() error {
	switch b.framing {
	case framedByClose:
		return nil
	case framedByLength:
		if b.left == 0 {
			return io.EOF
		}
		return nil
	case framedByChunks:
	}
	for b.next != chunkData {
		if b.next == bodyEnd {
			return io.EOF
		}
		if err := b.passPart(); err != nil {
			return err
		}
	}
	return nil
}

// passPart reads one line of the overhead.
func (b *responseBody) passPart() error {
	line, err := b.line()
	if err != nil {
		return err
	}
	switch b.next {
	case chunkSize:
		return b.startChunk(line)
	case chunkEnd:
		if string(line) != "\r" {
			return fmt.Errorf("%w: no end of line behind a chunk", errMalformedChunks)
		}
		b.next = chunkSize
	case trailer:
		return b.passTrailer(line)
	case chunkData, bodyEnd:
	}
	return nil
}

// passTrailer takes a line of the trailers, of which the last is empty.
func (b *responseBody) passTrailer(line []byte) error {
	field := bytes.TrimSuffix(line, []byte{'\r'})
	switch {
	case len(field) == 0:
		b.next = bodyEnd
		return nil
	case bytes.IndexByte(field, ':') <= 0:
		return fmt.Errorf("%w: a trailer that is no field", errMalformedChunks)
	}
	b.excess += int64(len(line))
	return b.checkOverhead()
}

// checkOverhead returns an error where too much has come that is no data.
func (b *responseBody) checkOverhead() error {
	if b.excess > maxExcessOverhead {
		return fmt.Errorf("%w: too much that is no data", errMalformedChunks)
	}
	return nil
}

// startChunk takes the line with the size of a chunk.
func (b *responseBody) startChunk(line []byte) error {
	text, hasEnd := bytes.CutSuffix(line, []byte{'\r'})
	if !hasEnd || bytes.IndexByte(text, '\r') >= 0 {
		return fmt.Errorf("%w: a size without its end of line", errMalformedChunks)
	}
	digits, _, _ := bytes.Cut(text, []byte{';'})
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, 4*maxChunkSizeDigits)
	if err != nil || len(digits) > maxChunkSizeDigits {
		return fmt.Errorf("%w: a size of %q", errMalformedChunks, digits)
	}
	b.excess = max(0, b.excess+int64(len(line))-chunkOverhead-2*int64(size))
	if err := b.checkOverhead(); err != nil {
		return err
	}
	if b.left, b.next = int64(size), chunkData; size == 0 {
		b.next = trailer
	}
	return nil
}

// line takes a line without its line feed. It takes nothing as long as the line has not come whole. The bytes are valid until the next read.
func (b *responseBody) line() ([]byte, error) {
	for {
		buffered, err := b.in.Peek(b.in.Buffered())
		if err != nil {
			return nil, err
		}
		if end := bytes.IndexByte(buffered, '\n'); end >= 0 {
			_, err := b.in.Discard(end + 1)
			return buffered[:end], err
		}
		_, err = b.in.Peek(len(buffered) + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, fmt.Errorf("%w: a long line", errMalformedChunks)
		}
		if err != nil {
			return nil, b.readError(err)
		}
	}
}
