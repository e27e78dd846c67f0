// Package simwire is the codec of the simulator's protocol: JSON lines in, events of package balancer out, and the reverse
// for actions. It makes no decisions. Names on the wire are older than those of the code and must not change; they are
// mapped here alone, and docs/glossary.md has both.
//
// decode.go reads messages, fields.go their fields, settings.go the settings of an instance; encode.go writes replies.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fastjson"

	"appleledge/internal/balancer"
)

// Kind is the kind of a Message.
type Kind int

// The kinds of messages.
const (
	BatchStart      Kind = iota // a batch begins at Now
	BatchEnd                    // a batch ends; the simulator waits for the reply
	InstanceStarted             // an instance begins, with Settings and Seed
	InstanceKilled              // an instance ended
	InstanceEvent               // an instance gets Event
)

// Message is one decoded line. Now is set for BatchStart, Instance for the kinds that begin with it.
type Message struct {
	Kind     Kind
	Now      time.Duration
	Instance string
	Settings balancer.Settings
	Seed     uint64
	Event    balancer.Event
}

// maxLists is the number of numbered endpoint lists that the protocol has.
const maxLists = 16

// Decoder reads messages. It is not safe for concurrent use.
type Decoder struct {
	in            *bufio.Reader
	longLine      []byte
	line          int
	inBatch       bool
	parser        fastjson.Parser
	serverLists   [maxLists][]balancer.Server
	reportFields  map[string][]string // names of each running instance's load report fields
	internedNames map[string]string   // one copy of each server and instance id
	firstFault    error               // the first in the line that is being decoded
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<20), reportFields: map[string][]string{}, internedNames: map[string]string{}}
}

// Line returns the number, from 1, of the line that was read last.
func (d *Decoder) Line() int { return d.line }

// Next returns the next message, or io.EOF at the end of the input. Any other error of a message names its line.
func (d *Decoder) Next() (Message, error) {
	for {
		text, err := d.readLine()
		if errors.Is(err, io.EOF) && d.inBatch {
			return Message{}, fmt.Errorf("line %d: the input ends without YourTurn", d.line)
		}
		if err != nil {
			return Message{}, err
		}
		if len(text) == 0 {
			continue
		}
		m, skip, err := d.decodeLine(text)
		if err != nil {
			return Message{}, fmt.Errorf("line %d: %w", d.line, err)
		}
		if !skip {
			return m, nil
		}
	}
}

// readLine returns the next line of any length, without its end. The bytes are valid until the next call.
func (d *Decoder) readLine() ([]byte, error) {
	d.longLine = d.longLine[:0]
	for {
		part, err := d.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			d.longLine = append(d.longLine, part...)
			continue
		}
		if err != nil && (err != io.EOF || len(part)+len(d.longLine) == 0) {
			return nil, err
		}
		d.line++
		if len(d.longLine) > 0 {
			part = append(d.longLine, part...)
			d.longLine = part
		}
		return bytes.TrimSpace(part), nil
	}
}

// decodeLine decodes one line; skip means that it is only a numbered list, which later messages refer to.
func (d *Decoder) decodeLine(text []byte) (m Message, skip bool, err error) {
	v, err := d.parser.ParseBytes(text)
	if err != nil {
		return m, false, fmt.Errorf("broken JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return m, false, errors.New("not an object")
	}
	d.firstFault = nil
	kind := d.bytes(v, "type")
	switch string(kind) {
	case "Turn":
		if d.inBatch {
			return m, false, errors.New("a Turn inside a Turn: YourTurn is missing")
		}
		d.inBatch = true
		return Message{Kind: BatchStart, Now: d.time(v, "WallNs")}, false, d.firstFault
	case "YourTurn":
		if !d.inBatch {
			return m, false, errors.New("YourTurn without a Turn")
		}
		d.inBatch = false
		return Message{Kind: BatchEnd}, false, nil
	}
	if !d.inBatch {
		return m, false, fmt.Errorf("%q outside a Turn", kind)
	}
	if string(kind) == "Census" {
		d.storeList(v)
		return m, true, d.firstFault
	}
	m.Instance = d.internedString(v, "I")
	switch string(kind) {
	case "Launch":
		m.Kind, m.Seed = InstanceStarted, d.uint(v, "Seed")
		m.Settings = d.decodeSettings(m.Instance, v.Get("BootInfo"))
		return m, false, d.firstFault
	case "Killed":
		m.Kind = InstanceKilled
	default:
		m.Kind = InstanceEvent
	}
	fields, ok := d.reportFields[m.Instance]
	if !ok {
		return m, false, fmt.Errorf("instance %q was never launched", m.Instance)
	}
	if m.Kind == InstanceEvent {
		m.Event = d.decodeEvent(string(kind), v, fields)
	} else {
		delete(d.reportFields, m.Instance)
	}
	return m, false, d.firstFault
}

func (d *Decoder) decodeEvent(kind string, v *fastjson.Value, fields []string) balancer.Event {
	switch kind {
	case "Members":
		return d.decodeServerList(v)
	case "Inbound":
		return balancer.Request{ID: d.string(v, "Tid"), Class: d.int(v, "Category"), Tenant: d.int(v, "Billing"),
			Key: d.string(v, "Resource"), Deadline: d.time(v, "ExpiresNs"), IsClientRetry: d.bool(v, "Repeat")}
	case "Answer":
		return balancer.Outcome{Request: d.string(v, "Tid"), Attempt: d.int(v, "RoundNo"), Server: d.internedString(v, "Backend"),
			Result: d.decodeResult(v), Latency: d.time(v, "LagNs"), RequestClosed: d.bool(v, "Last"), Report: d.decodeReport(v, fields)}
	case "Established":
		return balancer.ResponseStarted{Request: d.string(v, "Tid"), Attempt: d.int(v, "RoundNo")}
	case "Dropped":
		return balancer.ClientDisconnected{Request: d.string(v, "Tid")}
	case "Health":
		return balancer.HealthCheckResult{Server: d.internedString(v, "Backend"), Result: d.decodeResult(v), Latency: d.time(v, "LagNs"),
			Report: d.decodeReport(v, fields)}
	case "Message":
		data, err := base64.StdEncoding.DecodeString(d.string(v, "Blob"))
		if err != nil {
			d.fault("Blob is not base64: %v", err)
		}
		return balancer.PeerMessage{From: d.int(v, "Who"), Data: data}
	case "TimeoutFired":
		return balancer.TimerFired{Token: d.uint(v, "Handle")}
	}
	d.fault("unknown type %q", kind)
	return nil
}

func (d *Decoder) decodeServerList(v *fastjson.Value) balancer.Event {
	form := string(d.bytes(v, "Form"))
	switch form {
	case "unavailable":
		return balancer.ListUnavailable{}
	case "update", "replace", "restored":
	default:
		d.fault("unknown Form %q", form)
	}
	n := d.int(v, "Buffer")
	if n < 0 || n >= maxLists || d.serverLists[n] == nil {
		d.fault("unknown list number %d", n)
		return nil
	}
	return balancer.ServerList{Full: form != "update", Servers: d.serverLists[n]}
}

// storeList stores a numbered endpoint list. It allocates each, since events decoded before may still refer to the list
// that had the number.
func (d *Decoder) storeList(v *fastjson.Value) {
	n := d.int(v, "Buffer")
	if n < 0 || n >= maxLists {
		d.fault("list number %d is not from 0 to %d", n, maxLists-1)
		return
	}
	rows := []balancer.Server{}
	for _, e := range d.array(v, "RowsIn") {
		s := balancer.Server{ID: d.internedString(e, "Backend"), Zone: d.int(e, "RegionPart"), Cell: d.int(e, "Pack"),
			Weight: d.float(e, "Units"), Started: d.time(e, "CameUpNs")}
		switch mode := string(d.bytes(e, "Mode")); mode {
		case "ready":
			s.State = balancer.Ready
		case "draining":
			s.State = balancer.Draining
		case "gone":
			s.State = balancer.Removed
		default:
			d.fault("unknown Mode %q", mode)
		}
		rows = append(rows, s)
	}
	d.serverLists[n] = rows
}

var resultCodes = map[int]balancer.Result{10: balancer.OK, 20: balancer.Failed, 30: balancer.Rejected, 40: balancer.TimedOut,
	50: balancer.ConnectFailed, 60: balancer.Reset, 70: balancer.Cancelled, 80: balancer.NotSent}

func (d *Decoder) decodeResult(v *fastjson.Value) balancer.Result {
	n := d.int(v, "Result")
	r, ok := resultCodes[n]
	if !ok {
		d.fault("unknown Result %d", n)
	}
	return r
}

func (d *Decoder) decodeReport(v *fastjson.Value, fields []string) balancer.Report {
	r := balancer.NoReport
	for i, e := range d.array(v, "Usage") {
		x, err := e.Float64()
		if err != nil {
			d.fault("Usage: %v", err)
		}
		if i >= len(fields) {
			break
		}
		SetReportField(&r, fields[i], x)
	}
	return r
}

// SetReportField sets the value of a load report that has that name on the wire. Unknown names are ignored.
func SetReportField(r *balancer.Report, name string, x float64) {
	switch name {
	case "util":
		r.Utilization = x
	case "qps":
		r.ServedRate = x
	case "eps":
		r.ErrorRate = x
	case "inflight":
		r.InFlight = x
	case "queue":
		r.QueueLength = x
	}
}

func (d *Decoder) decodeSettings(instance string, v *fastjson.Value) balancer.Settings {
	if v == nil || v.Type() != fastjson.TypeObject {
		d.fault("Launch without BootInfo")
		return balancer.Settings{}
	}
	site, err := DecodeSettings(v.MarshalTo(nil))
	if err != nil {
		d.fault("BootInfo: %v", err)
	}
	d.reportFields[instance] = site.ReportFields
	return site.Balancer
}
