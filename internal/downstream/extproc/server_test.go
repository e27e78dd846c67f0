package extproc

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/types/known/structpb"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/settings"
	"appleledge/internal/simwire"
)

func TestDecision(t *testing.T) {
	r := newRig(t, options{})
	r.list(2)
	before := time.Now()
	a := ask(t, r.client(), request{id: newID(), class: "refund-record"})
	if a.to != endpoint(0) && a.to != endpoint(1) {
		t.Fatalf("sent to %q: %v", a.to, a.raw)
	}
	meta := a.raw.GetDynamicMetadata().GetFields()[MetadataNamespace].GetStructValue().GetFields()
	if meta[DestinationHeader].GetStringValue() != a.to {
		t.Errorf("metadata %v", meta)
	}
	if a.valid <= 0 || a.valid > 400*time.Millisecond || a.useBy.Before(before) || a.useBy.After(time.Now().Add(400*time.Millisecond)) {
		t.Errorf("may be used for %v, until %v", a.valid, a.useBy)
	}
	if left := a.header["x-timeout"]; left == "" || left == "2000m" {
		t.Errorf("the server is told to be waited for for %q", left)
	}
	if l := r.engine.Stats(); l.Calls != 1 || len(l.InFlight) != 1 {
		t.Errorf("%+v", l)
	}
	a.answer(whole("200", "x-server-load", "util=0.5,qps=10,eps=0"))
	r.quiet()
	if c := r.server.Counts.Snapshot(); c.Decisions != 1 || c.Served != 1 || c.AbandonedAfterDecision+c.AbandonedBeforeDecision != 0 {
		t.Errorf("%+v", c)
	}
}

// The end of a try means what it means in direct mode: what may have run is not tried again where its class does not
// allow that, and what never ran is.
func TestEndsOfTries(t *testing.T) {
	for name, c := range map[string]struct {
		end      func(asked)
		mayRetry bool // a request whose effect must not repeat
		served   bool
	}{
		"served, no body":        {func(a asked) { a.answer(whole("200")) }, false, true},
		"served, ended in order": {func(a asked) { a.answer(response("200")) }, false, true},
		"served, ended by body":  {func(a asked) { a.send(response("200")); a.recv(); a.send(lastBody()); a.recv(); a.cancel() }, false, true},
		"served, with trailers":  {func(a asked) { a.send(response("200")); a.recv(); a.send(trailers()); a.recv(); a.cancel() }, false, true},
		"200 with no end":        {func(a asked) { a.send(response("200")); a.recv(); a.cancel() }, false, false},
		"error":                  {func(a asked) { a.answer(whole("500")) }, false, false},
		"503 that may have run":  {func(a asked) { a.answer(whole("503")) }, false, false},
		"503 not processed":      {func(a asked) { a.answer(whole("503", "x-not-processed", "1")) }, true, false},
		"504 not processed":      {func(a asked) { a.answer(whole("504", "x-not-processed", "1")) }, true, false},
		"500 not processed":      {func(a asked) { a.answer(whole("500", "x-not-processed", "1")) }, false, false},
		"no status":              {func(a asked) { a.answer(whole("")) }, false, false},
		"no number":              {func(a asked) { a.answer(whole("2oo")) }, false, false},
		"interim, then served":   {func(a asked) { a.send(response("103")); a.recv(); a.answer(whole("200")) }, false, true},
		"not connected": {func(a asked) {
			a.answer(ownReply("upstream_reset_before_response_started{remote_connection_failure|reason}"))
		}, true, false},
		"connection timed out":    {func(a asked) { a.answer(ownReply("upstream_reset_before_response_started{connection_timeout}")) }, true, false},
		"connection broke":        {func(a asked) { a.answer(ownReply("upstream_reset_before_response_started{connection_termination}")) }, false, false},
		"not connected, but late": {func(a asked) { a.answer(ownReply("upstream_reset_after_response_started{remote_connection_failure}")) }, false, false},
		"timed out at the proxy":  {func(a asked) { a.answer(ownReply("upstream_response_timeout")) }, false, false},
		"unknown to the proxy":    {func(a asked) { a.answer(ownReply("no_healthy_upstream")) }, true, false},
		"details never heard of":  {func(a asked) { a.answer(ownReply("something_new")) }, false, false},
		"given up":                {func(a asked) { a.cancel() }, false, false},
		"ended with no response":  {func(a asked) { besteffort.Ignore(a.finish()) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, options{})
			r.list(4)
			client, q := r.client(), request{id: newID(), class: "pay"}
			a := ask(t, client, q)
			if a.to == "" {
				t.Fatalf("no decision: %v", a.raw)
			}
			c.end(a)
			r.noneOut()
			again := ask(t, client, q)
			if sent := again.to != ""; sent != c.mayRetry {
				t.Errorf("sent again: %v (%d)", sent, again.status)
			}
			if want := http.StatusBadGateway; !c.mayRetry && !c.served && again.status != want {
				t.Errorf("answered %d, want %d", again.status, want)
			}
			if c.served && again.status != http.StatusConflict {
				t.Errorf("a request that was served is answered %d", again.status)
			}
			if again.to != "" {
				again.answer(whole("200"))
			}
			if got := r.server.Counts.Snapshot(); c.served != (got.Served == 1) && !c.mayRetry {
				t.Errorf("%+v", got)
			}
		})
	}
}

func lastBody() *extprocv3.ProcessingRequest {
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseBody{
		ResponseBody: &extprocv3.HttpBody{Body: []byte("x"), EndOfStream: true}}}
}

func trailers() *extprocv3.ProcessingRequest {
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseTrailers{
		ResponseTrailers: &extprocv3.HttpTrailers{}}}
}

// A proxy that gives up before the decision has sent nothing: the request is as good as new when it comes again, also
// one that must never run twice. Nothing stays behind.
func TestGivenUpBeforeTheDecision(t *testing.T) {
	r := newRig(t, options{paused: true})
	client, q := r.client(), request{id: newID(), class: "pay"}
	o := openStream(t, client)
	o.send(q.message())
	agenttest.Eventually(t, "the request is there", func() bool { return r.server.inFlight.Load() == 1 })
	o.cancel()
	agenttest.Eventually(t, "the stream has ended", func() bool { return r.server.openStreams.Load() == 0 })
	r.run()
	r.list(2)
	r.quiet()
	if c := r.server.Counts.Snapshot(); c.Decisions != 0 || c.AbandonedBeforeDecision != 1 {
		t.Errorf("%+v", c)
	}
	if a := ask(t, client, q); a.to == "" {
		t.Errorf("the next try gets %d", a.status)
	}
}

// The same when the decision is made, but not handed over: it was never sent.
func TestGivenUpWithTheDecisionUnderWay(t *testing.T) {
	r := newRig(t, options{paused: true})
	r.list(2) // waits ahead of the request in the engine's queue
	client, q := r.client(), request{id: newID(), class: "pay"}
	o := openStream(t, client)
	o.send(q.message())
	agenttest.Eventually(t, "the request is there", func() bool { return r.server.inFlight.Load() == 1 })
	o.cancel()
	agenttest.Eventually(t, "the stream has ended", func() bool { return r.server.openStreams.Load() == 0 })
	r.run()
	r.quiet()
	if a := ask(t, client, q); a.to == "" {
		t.Errorf("the next try gets %d", a.status)
	}
}

// relay passes bytes between a client and the processor until it is told to fall silent, as a cut cable does: nothing
// closes.
func relay(t *testing.T, to string) (addr string, silence func()) {
	l := agenttest.Listen(t)
	var mute sync.RWMutex
	silent := false
	copyTo := func(dst, src net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := src.Read(buf)
			if err != nil {
				return
			}
			mute.RLock()
			s := silent
			mute.RUnlock()
			if !s {
				besteffort.IgnoreResult(dst.Write(buf[:n]))
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp", to)
			if err != nil {
				besteffort.Close(c)
				return
			}
			t.Cleanup(func() { besteffort.Close(c); besteffort.Close(up) })
			go copyTo(up, c)
			go copyTo(c, up)
		}
	}()
	return l.Addr().String(), func() { mute.Lock(); silent = true; mute.Unlock() }
}

// A connection that says nothing any more, with no close, is found by pings, and what was open on it is given up long
// before the requests' own time is over.
func TestDeadConnectionIsFound(t *testing.T) {
	r := newRig(t, options{
		set: func(s *settings.ExternalProcessor) {
			s.KeepaliveTime, s.KeepaliveWait = settings.Duration(time.Second), settings.Duration(500*time.Millisecond)
		},
		site: func(s *simwire.Site) {
			for i := range s.Balancer.Classes {
				s.Balancer.Classes[i].Deadline = time.Hour
			}
		},
	})
	r.list(2)
	addr, silence := relay(t, r.addr)
	a := ask(t, clientOf(t, addr), request{id: newID(), class: "pay", change: map[string]string{"x-timeout": "3600000m"}})
	if a.to == "" {
		t.Fatal(a.raw)
	}
	silence()
	r.noneOut()
	agenttest.Eventually(t, "the stream has ended", func() bool { return r.server.openStreams.Load() == 0 })
	if c := r.server.Counts.Snapshot(); c.AbandonedAfterDecision != 1 || c.Unknown != 1 {
		t.Errorf("%+v", c)
	}
}

// An endpoint that the list never named is neither chosen nor learned from; it is counted, logged once, and the request
// goes to one of the others. With no other it is refused at once.
func TestUnknownEndpointsInAHint(t *testing.T) {
	r := newRig(t, options{})
	r.list(4)
	client := r.client()
	for range 20 {
		a := ask(t, client, request{id: newID(), class: "form-check", hint: list("127.9.9.9:1", endpoint(2), "127.9.9.9:2")})
		if a.to != endpoint(2) {
			t.Fatalf("sent to %q (%d)", a.to, a.status)
		}
		a.answer(whole("200"))
	}
	for name, hint := range map[string]*structpb.Value{"unknown only": list("127.9.9.9:1"), "empty": list(),
		"empty text": structpb.NewStringValue("")} {
		began := time.Now()
		a := ask(t, client, request{id: newID(), class: "refund-record", hint: hint})
		if a.status != http.StatusServiceUnavailable || a.header["retry-after"] == "" {
			t.Errorf("%s: %v", name, a.raw)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: refused after %v", name, took)
		}
	}
	r.quiet()
	if c := r.server.Counts.Snapshot(); c.UnknownHints != 41 || c.Rejected != 3 {
		t.Errorf("%+v", c)
	}
	if n := r.log.Count("127.9.9.9"); n != 1 {
		t.Errorf("logged %d times", n)
	}
}

func TestHintForms(t *testing.T) {
	r := newRig(t, options{set: func(s *settings.ExternalProcessor) { s.MaxSubset = 8 }})
	r.list(4)
	client := r.client()
	if a := ask(t, client, request{id: newID(), class: "form-check",
		hint: structpb.NewStringValue(endpoint(1) + " , " + endpoint(1))}); a.to != endpoint(1) {
		t.Errorf("a text with commas: %v", a.raw)
	}
	for name, hint := range map[string]*structpb.Value{
		"number":     structpb.NewNumberValue(3),
		"of numbers": structpb.NewListValue(&structpb.ListValue{Values: []*structpb.Value{structpb.NewNumberValue(3)}}),
		"too long":   list("a", "b", "c", "d", "e", "f", "g", "h", "i"),
		"long text":  structpb.NewStringValue(strings.Repeat("a,", 9)),
	} {
		if a := ask(t, client, request{id: newID(), class: "form-check", hint: hint}); a.status != http.StatusBadRequest {
			t.Errorf("%s: %v", name, a.raw)
		}
	}
}

// A response from another endpoint than the chosen one says nothing of the chosen one; and where the request may have
// run is not known, so that one which must not run twice gets no other attempt.
func TestServedElsewhere(t *testing.T) {
	r := newRig(t, options{})
	r.list(4)
	client := r.client()
	for range 2 {
		q := request{id: newID(), class: "refund-record"}
		a := ask(t, client, q)
		a.answer(whole("500", ServedHeader, "127.9.9.9:1", "x-server-load", "util=0.9,qps=1,eps=0"))
		r.noneOut()
		if again := ask(t, client, q); again.status != http.StatusBadGateway {
			t.Errorf("the next try: %v", again.raw)
		}
	}
	q := request{id: newID(), class: "form-check"}
	a := ask(t, client, q)
	other := endpoint(0)
	if a.to == other {
		other = endpoint(1)
	}
	a.answer(whole("500", ServedHeader, other))
	r.noneOut()
	if again := ask(t, client, q); again.to == "" {
		t.Errorf("one that may be repeated: %v", again.raw)
	} else {
		again.answer(whole("200", ServedHeader, again.to))
	}
	if c := r.server.Counts.Snapshot(); c.ServedElsewhere != 3 || c.UnknownServed != 2 || c.Served != 1 {
		t.Errorf("%+v", c)
	}
	if n := r.log.Count("127.9.9.9"); n != 1 {
		t.Errorf("logged %d times", n)
	}
	r.quiet()
}

// A decision may be used for less than the 500 ms after which nothing new may go to a server that drains; one that has
// not been handed over when the server drains is not handed over any more; and what is out there still ends.
func TestDrainBetweenDecisionAndUse(t *testing.T) {
	r := newRig(t, options{set: func(s *settings.ExternalProcessor) { s.DecisionValid = settings.Duration(450 * time.Millisecond) }})
	r.list(2)
	client := r.client()
	a := ask(t, client, request{id: newID(), class: "refund-record"})
	if until := time.Until(a.useBy); a.valid > 450*time.Millisecond || until > 450*time.Millisecond {
		t.Errorf("may be used for %v, until %v from now", a.valid, until)
	}
	drained, left := 0, endpoint(1)
	if a.to == endpoint(1) {
		drained, left = 1, endpoint(0)
	}
	// The fleet knows of the drain already, the module does not: its decisions for that server must not get out.
	r.pool.Update(false, []engine.Member{member(drained, balancer.Draining)})
	var open []asked // left open, so that the other server looks ever better to the module
	for range 8 {
		b := ask(t, client, request{id: newID(), class: "form-check"})
		if b.to == a.to {
			t.Fatal("a draining server was handed out")
		}
		if b.to == left {
			open = append(open, b)
		}
	}
	if c := r.server.Counts.Snapshot(); c.DecisionsRejected == 0 {
		t.Errorf("the module never chose it, so that nothing was tested: %+v", c)
	}
	r.engine.Post(engine.EndpointUpdate{Members: []engine.Member{member(drained, balancer.Draining)}})
	r.engine.Post(engine.EndpointUpdate{Members: []engine.Member{member(drained, balancer.Removed)}})
	for _, b := range append(open, a) {
		b.answer(whole("200"))
	}
	r.quiet()
}

func TestNoServers(t *testing.T) {
	r := newRig(t, options{})
	client := r.client()
	refusedAtOnce := func(when string) {
		t.Helper()
		began := time.Now()
		a := ask(t, client, request{id: newID(), class: "refund-record"})
		if a.status != http.StatusServiceUnavailable || a.header["retry-after"] == "" || time.Since(began) > time.Second {
			t.Errorf("%s: %v after %v", when, a.raw, time.Since(began))
		}
	}
	refusedAtOnce("before the first list")
	r.engine.Post(engine.EndpointsUnavailable{})
	refusedAtOnce("with the list away from the start")
	r.list(2)
	r.engine.Post(engine.EndpointsUnavailable{})
	if a := ask(t, client, request{id: newID(), class: "refund-record"}); a.to == "" {
		t.Errorf("with the list away, the last one stands: %v", a.raw)
	} else {
		a.answer(whole("200"))
	}
	r.engine.Post(engine.EndpointUpdate{Full: true})
	refusedAtOnce("with an empty list")
	r.quiet()
}

// When all servers fail, each request still ends at once: with another decision or with a final answer.
func TestAllServersFail(t *testing.T) {
	r := newRig(t, options{})
	r.list(3)
	client := r.client()
	for range 30 {
		q, tries := request{id: newID(), class: "form-check"}, 0
		for ; ; tries++ {
			began := time.Now()
			a := ask(t, client, q)
			if time.Since(began) > time.Second {
				t.Fatalf("answered after %v", time.Since(began))
			}
			if a.to == "" {
				if a.status != http.StatusServiceUnavailable {
					t.Errorf("a request that may be repeated ends with %d", a.status)
				}
				break
			}
			a.answer(whole("500"))
			r.noneOut()
		}
		if tries > 5 {
			t.Errorf("tried %d times of at most 5", tries)
		}
	}
	r.quiet()
}

// Two streams under one id at the same instant: one is decided, the other is told of the conflict. The same where the
// other came in direct mode.
func TestOneIDTwice(t *testing.T) {
	r := newRig(t, options{})
	r.list(4)
	client := r.client()
	for range 20 {
		q := request{id: newID(), class: "pay"}
		var both sync.WaitGroup
		got := make([]asked, 2)
		for i := range got {
			both.Go(func() { got[i] = ask(t, client, q) })
		}
		both.Wait()
		if got[0].to == "" {
			got[0], got[1] = got[1], got[0]
		}
		if got[0].to == "" || got[1].status != http.StatusConflict {
			t.Fatalf("%v and %v", got[0].raw, got[1].raw)
		}
		got[0].answer(whole("200"))
	}
	direct := &engine.Call{ID: newID(), Deadline: time.Hour, Responder: ignore{}, Transport: never{}}
	r.engine.Arrive(direct)
	if a := ask(t, client, request{id: direct.ID, class: "form-check"}); a.status != http.StatusConflict {
		t.Errorf("with the id of a request in direct mode: %v", a.raw)
	}
	r.engine.ClientLeft(direct)
}

// ignore is a caller that takes its answer and drops it.
type ignore struct{}

func (ignore) Answer(engine.Answer) {}

// never is a transport that waits until the end.
type never struct{}

func (never) RoundTrip(ctx context.Context, a *engine.Attempt) engine.Outcome {
	<-ctx.Done()
	return engine.Outcome{Attempt: a, Result: balancer.TimedOut, Report: balancer.NoReport}
}

// The proxy's own count of its tries tells that the one before was given up, though its stream's end has not come: that
// try may have run.
func TestNextTryOvertakesTheEndOfTheLast(t *testing.T) {
	r := newRig(t, options{})
	r.list(4)
	client := r.client()
	try := func(class, id, n string) asked {
		return ask(t, client, request{id: id, class: class, change: map[string]string{"x-envoy-attempt-count": n}})
	}
	id := newID()
	first := try("form-check", id, "1")
	if again := try("form-check", id, "1"); again.status != http.StatusConflict {
		t.Errorf("the same try again: %v", again.raw)
	}
	second := try("form-check", id, "2")
	if second.to == "" {
		t.Fatalf("the next try: %v", second.raw)
	}
	first.answer(whole("200")) // it lost, and must not end the second
	if l := r.engine.Stats(); l.Calls != 1 || len(l.InFlight) != 1 {
		t.Errorf("%+v", l)
	}
	second.answer(whole("200"))
	id = newID()
	only := try("pay", id, "1")
	if again := try("pay", id, "2"); again.status != http.StatusBadGateway {
		t.Errorf("one that must not run twice: %v", again.raw)
	}
	only.cancel()
	r.quiet()
}

// A try of another class, tenant or key is another request, whatever id it has.
func TestOtherRequestUnderAKnownID(t *testing.T) {
	r := newRig(t, options{})
	r.list(4)
	client, id := r.client(), newID()
	a := ask(t, client, request{id: id, class: "refund-record"})
	a.answer(whole("503", "x-not-processed", "1"))
	r.noneOut()
	for name, q := range map[string]request{
		"class":  {id: id, class: "pay"},
		"tenant": {id: id, class: "refund-record", change: map[string]string{"x-tenant-id": "lerwick-port"}},
		"key":    {id: id, class: "refund-record", change: map[string]string{"idempotency-key": "other"}},
	} {
		if got := ask(t, client, q); got.status != http.StatusConflict {
			t.Errorf("%s: %v", name, got.raw)
		}
	}
	if got := ask(t, client, request{id: id, class: "refund-record"}); got.to == "" {
		t.Errorf("the same: %v", got.raw)
	}
}

// The module's repeats of a keyed request stay in the group of the first that may have run.
func TestKeyedTriesStayInTheirGroup(t *testing.T) {
	r := newRig(t, options{})
	r.list(8)
	client := r.client()
	cell := func(addr string) int {
		for i := range 8 {
			if endpoint(i) == addr {
				return i / 2
			}
		}
		t.Fatalf("unknown endpoint %q", addr)
		return 0
	}
	repeats := 0
	for range 20 {
		q := request{id: newID(), class: "refund-record"}
		a := ask(t, client, q)
		a.answer(whole("500"))
		r.noneOut()
		if again := ask(t, client, q); again.to != "" {
			repeats++
			if cell(again.to) != cell(a.to) {
				t.Errorf("in cell %d first, then in %d", cell(a.to), cell(again.to))
			}
			again.answer(whole("200"))
		}
	}
	if repeats == 0 {
		t.Error("none was sent again, so that nothing was tested")
	}
}

// Time-outs are judged as in direct mode, whichever header states them.
func TestDeadlines(t *testing.T) {
	r := newRig(t, options{})
	r.list(2)
	client := r.client()
	const own, envoy = "x-timeout", "x-envoy-expected-rq-timeout-ms"
	for name, c := range map[string]struct {
		change map[string]string
		want   int // 0: a decision
	}{
		"none":                {map[string]string{own: ""}, http.StatusBadRequest},
		"zero":                {map[string]string{own: "0m"}, http.StatusBadRequest},
		"negative":            {map[string]string{own: "-5m"}, http.StatusBadRequest},
		"no number":           {map[string]string{own: "soonm"}, http.StatusBadRequest},
		"absurd":              {map[string]string{own: "999999999999m"}, 0}, // cut to the class's
		"Envoy's":             {map[string]string{own: "", envoy: "1500"}, 0},
		"Envoy's, zero":       {map[string]string{own: "", envoy: "0"}, http.StatusBadRequest},
		"Envoy's, negative":   {map[string]string{own: "", envoy: "-1"}, http.StatusBadRequest},
		"Envoy's, absurd":     {map[string]string{own: "", envoy: "99999999999999999999"}, http.StatusBadRequest},
		"Envoy's with a unit": {map[string]string{own: "", envoy: "5m"}, http.StatusBadRequest},
		"ours goes first":     {map[string]string{own: "0m", envoy: "1500"}, http.StatusBadRequest},
	} {
		a := ask(t, client, request{id: newID(), class: "form-check", change: c.change})
		if a.status != c.want {
			t.Errorf("%s: %v", name, a.raw)
		}
		if a.to != "" {
			a.answer(whole("200"))
		}
	}
	r.quiet()
}

// A decision that comes when the request's time is over is not handed over.
func TestDecisionAfterTheDeadline(t *testing.T) {
	r := newRig(t, options{paused: true})
	r.list(2)
	o := openStream(t, r.client())
	o.send(request{id: newID(), class: "pay", change: map[string]string{"x-timeout": "40m"}}.message())
	agenttest.Eventually(t, "the request is there", func() bool { return r.server.inFlight.Load() == 1 })
	time.Sleep(60 * time.Millisecond)
	r.run()
	if a := read(o); a.status != http.StatusServiceUnavailable { // nothing was sent, so that trying again is harmless
		t.Errorf("%v", a.raw)
	}
	r.quiet()
}

// A server that never answers costs its request the deadline and no more: then the attempt ends, whether or not the
// proxy ends its stream, and a further try of what may have run gets its final answer. The stream is broken some time
// later.
func TestSilentServer(t *testing.T) {
	r := newRig(t, options{linger: 300 * time.Millisecond})
	r.list(2)
	client := r.client()
	q := request{id: newID(), class: "pay", change: map[string]string{"x-timeout": "200m"}}
	a := ask(t, client, q)
	agenttest.Eventually(t, "the request is over", func() bool { return r.engine.Stats().Calls == 0 })
	if again := ask(t, client, q); again.status != http.StatusBadGateway {
		t.Errorf("the next try: %v", again.raw)
	}
	if _, err := a.stream.Recv(); err == nil {
		t.Error("the stream has a message more")
	}
	r.quiet()
}

// Input is as bad here as it is in direct mode.
func TestBadInput(t *testing.T) {
	r := newRig(t, options{})
	r.list(2)
	client := r.client()
	set := func(pairs ...string) map[string]string {
		m := map[string]string{}
		for i := 0; i < len(pairs); i += 2 {
			m[pairs[i]] = pairs[i+1]
		}
		return m
	}
	for name, c := range map[string]struct {
		q    request
		want int
	}{
		"unknown class":     {request{class: "elsewhere"}, http.StatusNotFound},
		"no path":           {request{class: "pay", change: set(":path", "")}, http.StatusNotFound},
		"wrong method":      {request{class: "pay", change: set(":method", "GET")}, http.StatusMethodNotAllowed},
		"no id":             {request{class: "pay", change: set("x-request-id", "")}, http.StatusBadRequest},
		"long id":           {request{class: "pay", change: set("x-request-id", strings.Repeat("x", 129))}, http.StatusBadRequest},
		"two ids":           {request{class: "pay", again: []string{"x-request-id"}}, http.StatusBadRequest},
		"two methods":       {request{class: "pay", again: []string{":method"}}, http.StatusBadRequest},
		"two paths":         {request{class: "pay", again: []string{":path"}}, http.StatusBadRequest},
		"no key":            {request{class: "refund-record", change: set("idempotency-key", "")}, http.StatusBadRequest},
		"unknown tenant":    {request{class: "pay", change: set("x-tenant-id", "nobody")}, http.StatusBadRequest},
		"chunked":           {request{class: "pay", body: true, change: set("transfer-encoding", "chunked")}, http.StatusLengthRequired},
		"body, no length":   {request{class: "pay", body: true, change: set("content-length", "")}, http.StatusLengthRequired},
		"long body":         {request{class: "pay", body: true, change: set("content-length", "65537")}, http.StatusRequestEntityTooLarge},
		"length below 0":    {request{class: "pay", body: true, change: set("content-length", "-1")}, http.StatusBadRequest},
		"no length at all":  {request{class: "pay", body: true, change: set("content-length", "x")}, http.StatusBadRequest},
		"two lengths":       {request{class: "pay", body: true, again: []string{"content-length"}}, http.StatusBadRequest},
		"length, no body":   {request{class: "pay", change: set("content-length", "5")}, http.StatusBadRequest},
		"GET with a body":   {request{class: "form-check", body: true, change: set("content-length", "5")}, http.StatusBadRequest},
		"try 0":             {request{class: "pay", change: set("x-envoy-attempt-count", "0")}, http.StatusBadRequest},
		"try of no number":  {request{class: "pay", change: set("x-envoy-attempt-count", "two")}, http.StatusBadRequest},
		"two counts of try": {request{class: "pay", change: set("x-envoy-attempt-count", "1"), again: []string{"x-envoy-attempt-count"}}, http.StatusBadRequest},
	} {
		if c.q.id = newID(); c.q.change["x-request-id"] != "" {
			c.q.id = c.q.change["x-request-id"]
		}
		if a := ask(t, client, c.q); a.status != c.want {
			t.Errorf("%s: %v", name, a.raw)
		}
	}
	r.quiet()
	if c := r.server.Counts.Snapshot(); c.Decisions != 0 || c.BadInput != 21 {
		t.Errorf("%+v", c)
	}
}

// What a proxy sends beside heads is answered as the protocol says, and what is not known does not end the stream.
func TestOtherMessages(t *testing.T) {
	r := newRig(t, options{})
	r.list(2)
	o := openStream(t, r.client())
	start := request{id: newID(), class: "pay", body: true, change: map[string]string{"content-length": "5"}}.message()
	start.ProtocolConfig = &extprocv3.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_FULL_DUPLEX_STREAMED,
		ResponseBodyMode: filterv3.ProcessingMode_STREAMED}
	o.send(start)
	a := read(o)
	if a.to == "" || a.raw.GetModeOverride() != nil { // it must not be overridden in full duplex
		t.Fatalf("%v", a.raw)
	}
	o.send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{
		RequestBody: &extprocv3.HttpBody{Body: []byte("hello"), EndOfStream: true}}})
	back := o.recv().GetRequestBody().GetResponse().GetBodyMutation().GetStreamedResponse()
	if string(back.GetBody()) != "hello" || !back.GetEndOfStream() { // in full duplex a part that does not come back is lost
		t.Errorf("back came %v", back)
	}
	unknown := &extprocv3.ProcessingRequest{}
	unknown.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 999, protowire.VarintType), 1))
	for range 3 {
		o.send(unknown)
	}
	o.send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestTrailers{RequestTrailers: &extprocv3.HttpTrailers{}}})
	if got := o.recv(); got.GetRequestTrailers() == nil {
		t.Errorf("trailers are answered with %v", got)
	}
	o.send(response("200"))
	if got := o.recv(); got.GetResponseHeaders() == nil {
		t.Errorf("response headers are answered with %v", got)
	}
	o.send(lastBody())
	if got := o.recv(); got.GetResponseBody() == nil || got.GetResponseBody().GetResponse() != nil {
		t.Errorf("a streamed body is answered with %v", got)
	}
	if err := o.finish(); err != nil {
		t.Error(err)
	}
	r.quiet()
	if c := r.server.Counts.Snapshot(); c.Served != 1 || c.UnknownMessages != 3 {
		t.Errorf("%+v", c)
	}
	if n := r.log.Count("kind that is not known"); n != 1 {
		t.Errorf("logged %d times", n)
	}
}

// A stream is one request: a second head on it ends it with an error, and the first request is not answered twice.
func TestSecondHeadOnAStream(t *testing.T) {
	r := newRig(t, options{})
	r.list(2)
	o := openStream(t, r.client())
	o.send(request{id: newID(), class: "pay", change: map[string]string{"x-timeout": "300m"}}.message())
	read(o)
	o.send(request{id: newID(), class: "pay", change: map[string]string{"x-timeout": "300m"}}.message())
	if _, err := o.stream.Recv(); status.Code(err) != codes.InvalidArgument {
		t.Errorf("%v", err)
	}
	r.quiet()
}

// A proxy that only lets the processor watch gets no messages and nothing is decided for it.
func TestObservabilityMode(t *testing.T) {
	r := newRig(t, options{})
	r.list(2)
	o := openStream(t, r.client())
	for _, m := range []*extprocv3.ProcessingRequest{request{id: newID(), class: "pay"}.message(), whole("200")} {
		m.ObservabilityMode = true
		o.send(m)
	}
	besteffort.Ignore(o.stream.CloseSend())
	if resp, err := o.stream.Recv(); err == nil || err.Error() != "EOF" {
		t.Errorf("%v, %v", resp, err)
	}
	if c := r.server.Counts.Snapshot(); c.Decisions != 0 || c.ObserveOnly != 1 {
		t.Errorf("%+v", c)
	}
	r.quiet()
}

// A stream that only watches is not broken for having asked for nothing, once it has spoken.
func TestWatchingOutlastsTheFirstMessage(t *testing.T) {
	r := newRig(t, options{set: func(s *settings.ExternalProcessor) { s.FirstMessage = settings.Duration(200 * time.Millisecond) }})
	o := openStream(t, r.client())
	m := request{id: newID(), class: "pay"}.message()
	m.ObservabilityMode = true
	o.send(m)
	agenttest.Eventually(t, "it is seen", func() bool { return r.server.Counts.Snapshot().ObserveOnly == 1 })
	time.Sleep(400 * time.Millisecond)
	if err := o.finish(); err != nil {
		t.Errorf("it was broken: %v", err)
	}
}

// A table of ended requests that is too small loses safety, and not silently: what it forgets early is counted.
func TestForgottenRequestsAreCounted(t *testing.T) {
	r := newRig(t, options{set: func(s *settings.ExternalProcessor) { s.RememberMost = 1 }})
	r.list(2)
	client := r.client()
	for range 2 {
		ask(t, client, request{id: newID(), class: "pay"}).answer(whole("200"))
		r.noneOut()
	}
	if n := r.engine.Stats().ForgottenEarly; n != 1 {
		t.Errorf("%d forgotten", n)
	}
}

func TestHealthIsOffUnlessSet(t *testing.T) {
	for _, on := range []bool{false, true} {
		r := newRig(t, options{set: func(s *settings.ExternalProcessor) { s.Health, s.Reflection = on, on }})
		client := healthOf(t, r.addr)
		check := func() (healthv1.HealthCheckResponse_ServingStatus, error) {
			resp, err := client.Check(context.Background(), &healthv1.HealthCheckRequest{})
			return resp.GetStatus(), err
		}
		if !on {
			if _, err := check(); status.Code(err) != codes.Unimplemented {
				t.Errorf("off: %v", err)
			}
			continue
		}
		if s, err := check(); err != nil || s != healthv1.HealthCheckResponse_NOT_SERVING {
			t.Errorf("with no server: %v, %v", s, err)
		}
		r.list(1)
		agenttest.Eventually(t, "it serves", func() bool { s, _ := check(); return s == healthv1.HealthCheckResponse_SERVING })
	}
}

// On the signal to end, open requests finish and new streams are refused; the drain ends with the last of them.
func TestDrain(t *testing.T) {
	r := newRig(t, options{})
	r.list(2)
	client := r.client()
	a := ask(t, client, request{id: newID(), class: "refund-record"})
	r.stop()
	agenttest.Eventually(t, "new connections are refused", func() bool {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			besteffort.Close(c)
		}
		return err != nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if stream, err := client.Process(ctx); err == nil {
		if resp, err := stream.Recv(); err == nil {
			t.Errorf("a new stream is answered: %v", resp)
		}
	}
	a.answer(whole("200"))
	select {
	case err := <-r.served:
		if err != nil {
			t.Error(err)
		}
		r.served <- nil
	case <-time.After(agenttest.Patience):
		t.Fatal("it did not end")
	}
	if c := r.server.Counts.Snapshot(); c.Served != 1 {
		t.Errorf("%+v", c)
	}
}

// A proxy that keeps its stream open holds the drain up for as long as a client may wait, and no longer.
func TestDrainEndsWithoutTheProxy(t *testing.T) {
	r := newRig(t, options{site: func(s *simwire.Site) {
		for i := range s.Balancer.Classes {
			s.Balancer.Classes[i].Deadline = 500 * time.Millisecond
		}
	}})
	r.list(2)
	ask(t, r.client(), request{id: newID(), class: "refund-record"})
	r.stop()
	select {
	case err := <-r.served:
		besteffort.Ignore(err)
		r.served <- nil
	case <-time.After(agenttest.Patience):
		t.Fatal("it did not end")
	}
}
