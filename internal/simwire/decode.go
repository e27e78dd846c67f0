// Package simwire reads the simulator's lines and prints the replies. It decides nothing.
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

// Kind says what a Message is.
type Kind int

// The kinds of messages.
const (
	BatchStart      Kind = iota // a batch begins at Now
	BatchEnd                    // a batch ends; the reply is due
	InstanceStarted             // an instance begins, with Settings and Seed
	InstanceKilled              // an instance is gone
	InstanceEvent               // an instance has an event
)

// Message is one decoded line.
type Message struct {
	Kind     Kind
	Now      time.Duration
	Instance string
	Settings balancer.Settings
	Seed     uint64
	Event    balancer.Event
}

// lists is how many numbered lists there are at a time.
const lists = 16

// Decoder reads messages.
type Decoder struct {
	in        *bufio.Reader
	long      []byte
	line      int
	inTurn    bool
	parser    fastjson.Parser
	rows      [lists][]balancer.Server
	instances map[string][]string // each one's report fields
	names     map[string]string   // ids that come again and again, to keep one copy
	bad       error               // the first fault in the line at hand
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<20), instances: map[string][]string{}, names: map[string]string{}}
}

// Line is the number of the line that the latest message ended on.
func (d *Decoder) Line() int { return d.line }

// Next returns the next message, or io.EOF at the end of the input. Other errors name the line and the fault.
func (d *Decoder) Next() (Message, error) {
	for {
		text, err := d.read()
		if errors.Is(err, io.EOF) && d.inTurn {
			return Message{}, fmt.Errorf("line %d: the input ends without YourTurn", d.line)
		}
		if err != nil {
			return Message{}, err
		}
		if len(text) == 0 {
			continue
		}
		m, skip, err := d.decode(text)
		if err != nil {
			return Message{}, fmt.Errorf("line %d: %w", d.line, err)
		}
		if !skip {
			return m, nil
		}
	}
}

// read returns the next line without its end, however long it is.
func (d *Decoder) read() ([]byte, error) {
	d.long = d.long[:0]
	for {
		part, err := d.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			d.long = append(d.long, part...)
			continue
		}
		if err != nil && (err != io.EOF || len(part)+len(d.long) == 0) {
			return nil, err
		}
		d.line++
		if len(d.long) > 0 {
			part = append(d.long, part...)
			d.long = part
		}
		return bytes.TrimSpace(part), nil
	}
}

// decode decodes one line; skip says that it holds no message of its own.
func (d *Decoder) decode(text []byte) (m Message, skip bool, err error) {
	v, err := d.parser.ParseBytes(text)
	if err != nil {
		return m, false, fmt.Errorf("broken JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return m, false, errors.New("not an object")
	}
	d.bad = nil
	kind := d.bytes(v, "type")
	switch string(kind) {
	case "Turn":
		if d.inTurn {
			return m, false, errors.New("a Turn inside a Turn: YourTurn is missing")
		}
		d.inTurn = true
		return Message{Kind: BatchStart, Now: d.time(v, "WallNs")}, false, d.bad
	case "YourTurn":
		if !d.inTurn {
			return m, false, errors.New("YourTurn without a Turn")
		}
		d.inTurn = false
		return Message{Kind: BatchEnd}, false, nil
	}
	if !d.inTurn {
		return m, false, fmt.Errorf("%q outside a Turn", kind)
	}
	if string(kind) == "Census" {
		d.census(v)
		return m, true, d.bad
	}
	m.Instance = d.name(v, "I")
	switch string(kind) {
	case "Launch":
		m.Kind, m.Seed = InstanceStarted, d.uint(v, "Seed")
		m.Settings = d.launch(m.Instance, v.Get("BootInfo"))
		return m, false, d.bad
	case "Killed":
		m.Kind = InstanceKilled
	default:
		m.Kind = InstanceEvent
	}
	fields, ok := d.instances[m.Instance]
	if !ok {
		return m, false, fmt.Errorf("instance %q was never launched", m.Instance)
	}
	if m.Kind == InstanceEvent {
		m.Event = d.event(string(kind), v, fields)
	} else {
		delete(d.instances, m.Instance)
	}
	return m, false, d.bad
}

func (d *Decoder) event(kind string, v *fastjson.Value, fields []string) balancer.Event {
	switch kind {
	case "Members":
		return d.members(v)
	case "Inbound":
		return balancer.Request{ID: d.str(v, "Tid"), Class: d.int(v, "Category"), Tenant: d.int(v, "Billing"),
			Key: d.str(v, "Resource"), Deadline: d.time(v, "ExpiresNs"), IsClientRetry: d.flag(v, "Repeat")}
	case "Answer":
		return balancer.Outcome{Request: d.str(v, "Tid"), Attempt: d.int(v, "RoundNo"), Server: d.name(v, "Backend"),
			Result: d.result(v), Latency: d.time(v, "LagNs"), RequestClosed: d.flag(v, "Last"), Report: d.report(v, fields)}
	case "Established":
		return balancer.ResponseStarted{Request: d.str(v, "Tid"), Attempt: d.int(v, "RoundNo")}
	case "Dropped":
		return balancer.ClientDisconnected{Request: d.str(v, "Tid")}
	case "Health":
		return balancer.HealthCheckResult{Server: d.name(v, "Backend"), Result: d.result(v), Latency: d.time(v, "LagNs"),
			Report: d.report(v, fields)}
	case "Message":
		data, err := base64.StdEncoding.DecodeString(d.str(v, "Blob"))
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

func (d *Decoder) members(v *fastjson.Value) balancer.Event {
	form := string(d.bytes(v, "Form"))
	switch form {
	case "unavailable":
		return balancer.ListUnavailable{}
	case "update", "replace", "restored":
	default:
		d.fault("unknown Form %q", form)
	}
	n := d.int(v, "Buffer")
	if n < 0 || n >= lists || d.rows[n] == nil {
		d.fault("unknown list number %d", n)
		return nil
	}
	return balancer.ServerList{Full: form != "update", Servers: d.rows[n]}
}

// census keeps a numbered list. Each gets rows of its own, since events decoded before may still refer to the
// rows that had the number.
func (d *Decoder) census(v *fastjson.Value) {
	n := d.int(v, "Buffer")
	if n < 0 || n >= lists {
		d.fault("list number %d is not from 0 to %d", n, lists-1)
		return
	}
	rows := []balancer.Server{}
	for _, e := range d.array(v, "RowsIn") {
		s := balancer.Server{ID: d.name(e, "Backend"), Zone: d.int(e, "RegionPart"), Cell: d.int(e, "Pack"),
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
	d.rows[n] = rows
}

var results = map[int]balancer.Result{10: balancer.OK, 20: balancer.Failed, 30: balancer.Rejected, 40: balancer.TimedOut,
	50: balancer.ConnectFailed, 60: balancer.Reset, 70: balancer.Cancelled, 80: balancer.NotSent}

func (d *Decoder) result(v *fastjson.Value) balancer.Result {
	n := d.int(v, "Result")
	r, ok := results[n]
	if !ok {
		d.fault("unknown Result %d", n)
	}
	return r
}

func (d *Decoder) report(v *fastjson.Value, fields []string) balancer.Report {
	r := balancer.NoReport
	for i, e := range d.array(v, "Usage") {
		x, err := e.Float64()
		if err != nil {
			d.fault("Usage: %v", err)
		}
		if i >= len(fields) {
			break
		}
		SetFigure(&r, fields[i], x)
	}
	return r
}

// SetFigure sets the figure of a load report that goes by that name; names that are not known are passed over.
func SetFigure(r *balancer.Report, name string, x float64) {
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

func (d *Decoder) fault(format string, args ...any) {
	if d.bad == nil {
		d.bad = fmt.Errorf(format, args...)
	}
}

// get returns a field, or nil when it is absent or null.
func (d *Decoder) get(v *fastjson.Value, key string) *fastjson.Value {
	f := v.Get(key)
	if f == nil || f.Type() == fastjson.TypeNull {
		return nil
	}
	return f
}

// field converts a field of v; an absent one is the zero value.
func field[T any](d *Decoder, v *fastjson.Value, key string, convert func(*fastjson.Value) (T, error)) (t T) {
	if f := d.get(v, key); f != nil {
		var err error
		if t, err = convert(f); err != nil {
			d.fault("%s: %v", key, err)
		}
	}
	return t
}

func (d *Decoder) bytes(v *fastjson.Value, key string) []byte {
	return field(d, v, key, (*fastjson.Value).StringBytes)
}

func (d *Decoder) int(v *fastjson.Value, key string) int {
	return field(d, v, key, (*fastjson.Value).Int)
}

func (d *Decoder) uint(v *fastjson.Value, key string) uint64 {
	return field(d, v, key, (*fastjson.Value).Uint64)
}

func (d *Decoder) time(v *fastjson.Value, key string) time.Duration {
	return time.Duration(field(d, v, key, (*fastjson.Value).Int64))
}

func (d *Decoder) float(v *fastjson.Value, key string) float64 {
	return field(d, v, key, (*fastjson.Value).Float64)
}

func (d *Decoder) flag(v *fastjson.Value, key string) bool {
	return field(d, v, key, (*fastjson.Value).Bool)
}

func (d *Decoder) array(v *fastjson.Value, key string) []*fastjson.Value {
	return field(d, v, key, (*fastjson.Value).Array)
}

func (d *Decoder) str(v *fastjson.Value, key string) string { return string(d.bytes(v, key)) }

// name is str for the ids of servers and instances, of which there are few.
func (d *Decoder) name(v *fastjson.Value, key string) string {
	text := d.bytes(v, key)
	s, ok := d.names[string(text)]
	if !ok {
		s = string(text)
		d.names[s] = s
	}
	return s
}

func (d *Decoder) launch(instance string, v *fastjson.Value) balancer.Settings {
	if v == nil || v.Type() != fastjson.TypeObject {
		d.fault("Launch without BootInfo")
		return balancer.Settings{}
	}
	site, err := DecodeSettings(v.MarshalTo(nil))
	if err != nil {
		d.fault("BootInfo: %v", err)
	}
	d.instances[instance] = site.ReportFields
	return site.Balancer
}
