package extproc

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/settings"
)

// raw is a connection that speaks HTTP/2 frame by frame, as a peer that is out of order would.
type raw struct {
	t      testing.TB
	conn   net.Conn
	framer *http2.Framer
	head   []byte // of a stream
	next   uint32
}

func dialRaw(t testing.TB, addr string, set ...http2.Setting) *raw {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(c) })
	r := &raw{t: t, conn: c, framer: http2.NewFramer(c, nil), next: 1}
	if _, err := io.WriteString(c, http2.ClientPreface); err != nil {
		t.Fatal(err)
	}
	if err := r.framer.WriteSettings(set...); err != nil {
		t.Fatal(err)
	}
	var buf bytes.Buffer
	encoder := hpack.NewEncoder(&buf)
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", extprocv3.ExternalProcessor_Process_FullMethodName}, {":authority", "agent"},
		{"content-type", "application/grpc"}, {"te", "trailers"}} {
		besteffort.Ignore(encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]}))
	}
	r.head = buf.Bytes()
	return r
}

// discard reads what comes and drops it.
func (r *raw) discard() { go func() { besteffort.IgnoreResult(io.Copy(io.Discard, r.conn)) }() }

// open opens a stream and returns its number; an error means that the processor has closed the connection.
func (r *raw) open() (id uint32, err error) {
	id, r.next = r.next, r.next+2
	// Encoded as the first block of a connection each time: every field is a literal that the table does not shift.
	return id, r.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: r.head, EndHeaders: true})
}

// send writes a message on a stream.
func (r *raw) send(id uint32, m *extprocv3.ProcessingRequest) error {
	body, err := proto.Marshal(m)
	if err != nil {
		r.t.Fatal(err)
	}
	frame := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(body)))
	frame = append(frame, body...)
	for len(frame) > 0 {
		n := min(len(frame), 16<<10)
		if err := r.framer.WriteData(id, false, frame[:n]); err != nil {
			return err
		}
		frame = frame[n:]
	}
	return nil
}

// inUse is the memory in use in this process, in bytes, once garbage is collected.
func inUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// growth is how much more is in use than before.
func growth(before uint64) int64 { return int64(inUse()) - int64(before) }

// served waits until a request on a connection of its own is decided and served.
func (r *rig) serves() {
	r.t.Helper()
	client := r.client()
	agenttest.Eventually(r.t, "another proxy is served", func() bool {
		o := openStream(r.t, client)
		defer o.cancel()
		o.send(request{id: newID(), class: "form-check"}.message())
		resp, err := o.stream.Recv()
		if err != nil || resp.GetRequestHeaders() == nil {
			return false
		}
		o.send(whole("200"))
		_, err = o.stream.Recv()
		return err == nil && o.finish() == nil
	})
}

// Ten thousand streams that are opened and left hold no more memory than the limit on streams allows, end when they have
// said nothing for long, and keep others out for no longer.
func TestStreamsOpenedAndLeft(t *testing.T) {
	const connections, each, most = 40, 250, 500
	r := newRig(t, options{set: func(s *settings.ExternalProcessor) {
		s.MaxConnections, s.MaxStreams, s.MaxOpen = connections+8, each, most
		s.FirstMessage = settings.Duration(time.Second)
		s.KeepaliveTime = settings.Duration(time.Hour) // pings are not what ends them
	}})
	r.list(4)
	before := inUse()
	for range connections {
		c := dialRaw(t, r.addr)
		c.discard()
		for range each {
			if _, err := c.open(); err != nil {
				t.Fatal(err)
			}
		}
	}
	agenttest.Eventually(t, "all came", func() bool {
		return r.server.Counts.Snapshot().StreamsRejected+uint64(r.server.openStreams.Load()) >= connections*each-most || r.server.openStreams.Load() == 0
	})
	if n := r.server.openStreams.Load(); n > most {
		t.Errorf("%d streams are open of at most %d", n, most)
	}
	// Twice what they need: on a busy machine those that were refused take a while to end. All of them would hold ten times that.
	if more := growth(before); more > 2*(most*(24<<10)+connections*(64<<10)) {
		t.Errorf("%d KB more are in use", more>>10)
	} else {
		t.Logf("%d KB more with %d streams open", more>>10, r.server.openStreams.Load())
	}
	r.serves()
	r.quiet()
}

// A peer with as many streams as it may have, that asks on all of them and never reads, holds a bounded amount and
// keeps nobody else from being served. Pings that it does not answer end it.
func TestPeerThatNeverReads(t *testing.T) {
	const each, parts = 250, 12
	r := newRig(t, options{set: func(s *settings.ExternalProcessor) {
		s.MaxStreams = each
		s.KeepaliveTime, s.KeepaliveWait = settings.Duration(time.Second), settings.Duration(time.Second)
	}})
	r.list(4)
	before := inUse()
	c := dialRaw(t, r.addr)
	part := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{
		RequestBody: &extprocv3.HttpBody{Body: make([]byte, 8<<10)}}}
	besteffort.Ignore(c.conn.SetWriteDeadline(time.Now().Add(agenttest.Patience)))
	for range each {
		id, err := c.open()
		if err != nil {
			break // it may be closed by now
		}
		head := request{id: newID(), class: "refund-record", body: true, change: map[string]string{"content-length": "65536"}}.message()
		head.ProtocolConfig = &extprocv3.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_FULL_DUPLEX_STREAMED}
		besteffort.Ignore(c.send(id, head))
		for range parts / 2 { // within the window of the stream; what comes back is never taken
			besteffort.Ignore(c.send(id, part))
		}
	}
	places := r.server.Settings.MaxOpen / duplexShareDivisor
	if more, most := growth(before), int64(places*(3*streamWindow)+each*(44<<10)); more > most {
		t.Errorf("%d KB more are in use, %d KB at most", more>>10, most>>10)
	} else {
		t.Logf("%d KB more", more>>10)
	}
	r.serves()
	r.quiet()
}

// A peer that answers pings and reads, but never opens the window of its streams, does not hold them for ever: a message
// that is not taken in time breaks its stream.
func TestStreamWhoseWindowStaysShut(t *testing.T) {
	r := newRig(t, options{linger: 300 * time.Millisecond, set: func(s *settings.ExternalProcessor) {
		s.KeepaliveTime = settings.Duration(time.Hour) // pings are not what ends it
	}})
	r.list(4)
	c := dialRaw(t, r.addr, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	c.discard()
	id, err := c.open()
	if err != nil {
		t.Fatal(err)
	}
	head := request{id: newID(), class: "refund-record", body: true, change: map[string]string{"content-length": "65536", "x-timeout": "500m"}}.message()
	head.ProtocolConfig = &extprocv3.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_FULL_DUPLEX_STREAMED}
	besteffort.Ignore(c.send(id, head))
	part := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{
		RequestBody: &extprocv3.HttpBody{Body: make([]byte, 8<<10)}}}
	for range 14 { // more than the processor keeps for a stream, and less than that and the stream's own window
		if err := c.send(id, part); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond) // for the processor to take it, so that the window is kept to
	}
	r.quiet()
}
