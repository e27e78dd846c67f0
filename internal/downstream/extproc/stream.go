package extproc

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/upstream/connpool"
	"appleledge/internal/upstream/http1"
)

// maxVerdicts is how much the engine may have told a stream that has not looked yet: an attempt, and the final answer when
// the request's time is over.
const maxVerdicts = 2

// errStreamClosed ends a stream that the proxy has ended in order.
var errStreamClosed = errors.New("the proxy ended the stream")

// verdict is what the engine says: an attempt, or else the final answer.
type verdict struct {
	attempt *engine.Attempt
	answer  engine.Answer
}

// stream is one try of a request. Its own goroutine runs it; the engine calls HandOver, Answer and Released.
type stream struct {
	server   *Server
	ctx      context.Context
	verdicts chan verdict
	expiry   *time.Timer // breaks the stream when it stays for too long, also while a message is not taken

	isHandedOver atomic.Bool // the decision is with the proxy

	call           *engine.Call    // once the request was in order
	attempt        *engine.Attempt // with the proxy
	pendingOutcome *engine.Outcome // a 200 whose end has not come
	isSettled      bool            // the final answer was given here, or how the attempt ended was told
	fullDuplex     [2]bool         // request and response bodies come back from the processor, or not at all
	hasDuplexSlot  bool            // has one of the places for such streams
}

// HandOver is called by the engine.
func (st *stream) HandOver(a *engine.Attempt) { st.verdicts <- verdict{attempt: a} }

// Answer is called by the engine. After the decision it is not for the proxy: the client's time is over, or it is served.
func (st *stream) Answer(a engine.Answer) {
	if !st.isHandedOver.Load() {
		st.verdicts <- verdict{answer: a}
	}
}

// Released is called by the engine.
func (st *stream) Released() { st.server.inFlight.Add(-1) }

// run takes messages and answers them until the stream ends.
func (st *stream) run(g extprocv3.ExternalProcessor_ProcessServer) error {
	for first := true; ; first = false {
		req, err := g.Recv()
		if errors.Is(err, io.EOF) {
			return errStreamClosed
		}
		if err != nil {
			return err
		}
		if first { // it has said something: one that only watches may last as long as a request
			st.expiry.Reset(st.server.MaxDeadline() + st.server.linger)
		}
		resp, err := st.handleMessage(req)
		if err != nil {
			return err
		}
		if resp == nil {
			continue
		}
		if err := g.Send(resp); err != nil {
			return err
		}
		if resp.GetImmediateResponse() != nil {
			return nil
		}
	}
}

// take handles a message and returns what the proxy is owed for it, or nil.
func (st *stream) handleMessage(req *extprocv3.ProcessingRequest) (*extprocv3.ProcessingResponse, error) {
	if req.GetObservabilityMode() { // the proxy waits for no answer and heeds none: nothing is to be decided
		if req.GetRequestHeaders() != nil {
			st.server.Counts.observed.Add(1)
		}
		return nil, nil
	}
	if c := req.GetProtocolConfig(); c != nil {
		st.fullDuplex = [2]bool{c.GetRequestBodyMode() == filterv3.ProcessingMode_FULL_DUPLEX_STREAMED,
			c.GetResponseBodyMode() == filterv3.ProcessingMode_FULL_DUPLEX_STREAMED}
		if !st.acquireDuplexSlot() {
			return nil, status.Error(codes.ResourceExhausted, "too many streams have bodies that come back")
		}
	}
	switch m := req.GetRequest().(type) {
	case *extprocv3.ProcessingRequest_RequestHeaders:
		return st.decide(req, m.RequestHeaders)
	case *extprocv3.ProcessingRequest_ResponseHeaders:
		st.handleResponseHeaders(req, m.ResponseHeaders)
		return continueResponseHeaders, nil
	case *extprocv3.ProcessingRequest_RequestBody:
		return continueBody(m.RequestBody, false, st.fullDuplex[0]), nil
	case *extprocv3.ProcessingRequest_ResponseBody:
		if m.ResponseBody.GetEndOfStream() || m.ResponseBody.GetEndOfStreamWithoutMessage() {
			st.handleResponseEnd()
		}
		return continueBody(m.ResponseBody, true, st.fullDuplex[1]), nil
	case *extprocv3.ProcessingRequest_RequestTrailers:
		return continueTrailers(false), nil
	case *extprocv3.ProcessingRequest_ResponseTrailers:
		st.handleResponseEnd()
		return continueTrailers(true), nil
	}
	// A kind that this version does not know. What it would be owed is not known either.
	st.server.Counts.unknownMessages.Add(1)
	st.server.logOnce.unknown.Do(func() {
		st.server.Log.Warn("a proxy sent a message of a kind that is not known; further ones are not logged")
	})
	return nil, nil
}

// acquireDuplexSlot takes a place among the streams whose bodies come back, if this is one. What such a stream holds is as much
// as its windows, while others hold next to nothing.
func (st *stream) acquireDuplexSlot() bool {
	if st.hasDuplexSlot || st.fullDuplex == [2]bool{} {
		return true
	}
	if st.server.duplexStreams.Add(1) > int64(max(1, st.server.Settings.MaxOpen/duplexShareDivisor)) {
		st.server.duplexStreams.Add(-1)
		st.server.Counts.streamsRefused.Add(1)
		return false
	}
	st.hasDuplexSlot = true
	return true
}

// decide asks where the request goes.
func (st *stream) decide(req *extprocv3.ProcessingRequest, h *extprocv3.HttpHeaders) (*extprocv3.ProcessingResponse, error) {
	s := st.server
	if st.call != nil {
		return nil, status.Error(codes.InvalidArgument, "a stream is one request: its headers came twice")
	}
	call, err := s.parseRequest(req, h)
	if err != nil {
		s.Counts.badInput.Add(1)
		return immediateError(err), nil
	}
	call.AtCapacity = s.inFlight.Add(1) > int64(s.Settings.MaxOpen) // an earlier try may have run, which the engine knows
	call.Responder, st.call = st, call
	st.expiry.Reset(call.Deadline - s.Clock.Now() + s.linger)
	s.Engine.Arrive(call)
	for {
		select {
		case v := <-st.verdicts:
			if v.attempt == nil {
				s.countAnswer(v.answer.Kind)
				st.isSettled = true
				return immediateAnswer(v.answer), nil
			}
			if resp := st.handOver(v.attempt); resp != nil {
				return resp, nil
			}
		case <-st.ctx.Done():
			return nil, st.ctx.Err()
		case <-s.Engine.Done():
			return immediateAnswer(engine.Answer{Kind: engine.Failed}), nil
		}
	}
}

// hand makes the decision the proxy's, unless it is of no use any more: meanwhile the server may have begun to drain or
// started anew, or the time may be over. From here on the attempt counts as one that may run.
func (st *stream) handOver(a *engine.Attempt) *extprocv3.ProcessingResponse {
	now := st.server.Clock.Now()
	backend, _ := a.Incarnation.(*connpool.Backend)
	valid := min(a.WriteDeadline-now, time.Duration(st.server.Settings.DecisionValid))
	if valid < time.Millisecond || !st.server.Pool.AcceptsRequests(backend) {
		st.server.Counts.unusable.Add(1)
		st.server.Engine.RejectAttempt(a)
		return nil
	}
	if st.ctx.Err() != nil {
		return nil // the next look at the context ends the stream; nothing was handed over
	}
	st.attempt = a
	st.isHandedOver.Store(true)
	st.server.Counts.decisions.Add(1)
	return decisionResponse(routingDecision{addr: backend.Addr(), validFor: valid, useBy: st.server.Clock.At(now + valid), timeout: a.Deadline - now,
		metadata: st.server.metadata.get(backend.Addr()), overridesMode: st.server.Settings.ModeOverride && st.fullDuplex == [2]bool{}})
}

// response judges the head of a response, as direct mode judges a whole answer. A 200 is one only when it has ended.
func (st *stream) handleResponseHeaders(req *extprocv3.ProcessingRequest, h *extprocv3.HttpHeaders) {
	if st.attempt == nil || st.pendingOutcome != nil {
		return
	}
	header, code := parseResponseHead(h)
	if code >= 100 && code < http.StatusOK {
		return // an interim one
	}
	out := engine.Outcome{Attempt: st.attempt, Result: balancer.Reset, Report: balancer.NoReport}
	if code != 0 { // else it is no answer that a backend can have made
		out.Result = http1.ClassifyResponse(code, header)
		out.Report = http1.ReadReport(header, st.server.ReportFields, st.server.logBadReport)
	}
	if result, own := localReplyResult(req, h); own && out.Result == balancer.Failed {
		out.Result, out.Report = result, balancer.NoReport
	}
	out.FromOtherServer = st.wasServedElsewhere(req, header)
	if out.Result == balancer.OK && !h.GetEndOfStream() {
		st.pendingOutcome = &out
		return
	}
	st.endAttempt(out)
}

// elsewhere compares the endpoint that served with the chosen one, where the proxy tells.
func (st *stream) wasServedElsewhere(req *extprocv3.ProcessingRequest, header http.Header) bool {
	served := servedBy(req, header)
	backend, _ := st.attempt.Incarnation.(*connpool.Backend)
	if served == "" || served == backend.Addr() {
		return false
	}
	st.server.Counts.elsewhere.Add(1)
	if len(st.server.Pool.IDsAt(served)) == 0 {
		st.server.Counts.unknownServed.Add(1)
		st.server.logOnce.served.Do(func() {
			st.server.Log.Warn("a proxy used an endpoint that the list does not name; further ones are not logged",
				"endpoint", truncate(served), "chosen", backend.Addr())
		})
	}
	return true
}

// handleResponseEnd makes a 200 one that was served.
func (st *stream) handleResponseEnd() {
	if st.pendingOutcome != nil {
		st.endAttempt(*st.pendingOutcome)
	}
}

// tell ends the attempt that the proxy has.
func (st *stream) endAttempt(out engine.Outcome) {
	st.isSettled = true
	st.attempt, st.pendingOutcome = nil, nil
	st.server.countResult(out.Result)
	st.server.Engine.EndAttempt(out)
}

// end settles what is open when the stream has ended.
func (st *stream) close(err error) {
	switch {
	case st.call == nil:
	case st.attempt == nil:
		if !st.isHandedOver.Load() && !st.isSettled {
			st.server.Counts.gaveUpBefore.Add(1)
		}
		st.server.Engine.Abandon(st.call.ID, st)
	case st.pendingOutcome != nil && errors.Is(err, errStreamClosed):
		st.handleResponseEnd()
	default: // it was handed over, and what became of it is not known
		st.server.Counts.gaveUpAfter.Add(1)
		st.endAttempt(engine.Outcome{Attempt: st.attempt, Result: balancer.Cancelled, Report: balancer.NoReport})
	}
}

// count counts a final answer that the agent gives itself.
func (s *Server) countAnswer(kind engine.AnswerKind) {
	switch kind {
	case engine.Rejected:
		s.Counts.refused.Add(1)
	case engine.Conflict:
		s.Counts.conflicts.Add(1)
	default:
		s.Counts.gaveNothing.Add(1)
	}
}

func (s *Server) countResult(r balancer.Result) {
	switch r {
	case balancer.OK:
		s.Counts.served.Add(1)
	case balancer.Rejected, balancer.ConnectFailed:
		s.Counts.notRun.Add(1)
	case balancer.Cancelled:
		s.Counts.unknown.Add(1)
	default:
		s.Counts.failed.Add(1)
	}
}

func (s *Server) logBadReport(err error) {
	s.logOnce.report.Do(func() {
		s.Log.Warn("passing over a malformed report; further ones are not logged", "error", err)
	})
}
