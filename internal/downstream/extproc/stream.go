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

// maxVerdicts is how many verdicts the engine may send before the stream reads one: an attempt, and the final answer when
// the request's deadline has passed. With that buffer the engine never blocks on a stream.
const maxVerdicts = 2

// errStreamClosed is run's error when the proxy has closed the stream properly.
var errStreamClosed = errors.New("the proxy ended the stream")

// verdict is what the engine decided: an attempt or, where that is nil, the final answer.
type verdict struct {
	attempt *engine.Attempt
	answer  engine.Answer
}

// stream is one attempt of a request, as the proxy counts attempts. The goroutine of Server.Process owns it and calls run and
// close; the engine's goroutine calls HandOver, Answer and Released, which use only verdicts, isHandedOver and the server.
type stream struct {
	server   *Server
	ctx      context.Context
	verdicts chan verdict
	expiry   *time.Timer // cancels ctx when the stream is open for too long, also while a message can't be sent

	isHandedOver atomic.Bool // the decision was given to the proxy

	call           *engine.Call    // nil until a valid request was read
	attempt        *engine.Attempt // in flight at the proxy, or nil
	pendingOutcome *engine.Outcome // of a 200 whose body has not ended, or nil
	isSettled      bool            // the final answer was given here, or the attempt's outcome was sent to the engine
	fullDuplex     [2]bool         // of request and response: the proxy forwards only the body that the processor sends back
	hasDuplexSlot  bool            // counted in Server.duplexStreams
}

// HandOver sends the stream an attempt. The engine calls it; it does not block.
func (st *stream) HandOver(a *engine.Attempt) { st.verdicts <- verdict{attempt: a} }

// Answer sends the stream the request's final answer. The engine calls it; it does not block. Once the decision was handed
// over the answer is dropped: the deadline has passed, or the proxy has served the request.
func (st *stream) Answer(a engine.Answer) {
	if !st.isHandedOver.Load() {
		st.verdicts <- verdict{answer: a}
	}
}

// Released counts the request as no longer in flight. The engine calls it once, when it no longer refers to the stream.
func (st *stream) Released() { st.server.inFlight.Add(-1) }

// run receives messages and answers them until the stream ends. It returns nil after an immediate response, which ends the
// stream, and errStreamClosed where the proxy closed it.
func (st *stream) run(g extprocv3.ExternalProcessor_ProcessServer) error {
	for first := true; ; first = false {
		req, err := g.Recv()
		if errors.Is(err, io.EOF) {
			return errStreamClosed
		}
		if err != nil {
			return err
		}
		if first { // until there is a request, whose deadline decides, a stream may be open as long as any request
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

// handleMessage handles one message and returns the response that the protocol requires, or nil for none. An error ends the
// stream.
func (st *stream) handleMessage(req *extprocv3.ProcessingRequest) (*extprocv3.ProcessingResponse, error) {
	if req.GetObservabilityMode() { // the proxy ignores responses, so that there is nothing to decide
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
	// A kind of message that this version does not know, and so neither what response it requires.
	st.server.Counts.unknownMessages.Add(1)
	st.server.logOnce.unknown.Do(func() {
		st.server.Log.Warn("a proxy sent a message of a kind that is not known; further ones are not logged")
	})
	return nil, nil
}

// acquireDuplexSlot counts the stream among those in full duplex mode, if it is one, and reports whether that kept within
// their limit. Such a stream uses as much memory as its windows, any other next to none.
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

// decide sends the request to the engine and waits for its verdict. It returns the decision or an immediate response; an
// error where the stream ended first.
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
	call.AtCapacity = s.inFlight.Add(1) > int64(s.Settings.MaxOpen) // the engine may still admit it: an earlier attempt may have run
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

// handOver returns the decision for the proxy. From then on the attempt counts as one that may run. It returns nil where the
// decision can't be used any more: the backend has begun to drain or has restarted, the deadline is too near, or the stream
// has ended.
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
		return nil // nothing was handed over; decide sees the ended context next
	}
	st.attempt = a
	st.isHandedOver.Store(true)
	st.server.Counts.decisions.Add(1)
	return decisionResponse(routingDecision{addr: backend.Addr(), validFor: valid, useBy: st.server.Clock.At(now + valid), timeout: a.Deadline - now,
		metadata: st.server.metadata.get(backend.Addr()), overridesMode: st.server.Settings.ModeOverride && st.fullDuplex == [2]bool{}})
}

// handleResponseHeaders classifies a response by its head, as direct mode classifies a complete one. A 200 with a body counts
// only when the body has ended: until then its outcome is pending.
func (st *stream) handleResponseHeaders(req *extprocv3.ProcessingRequest, h *extprocv3.HttpHeaders) {
	if st.attempt == nil || st.pendingOutcome != nil {
		return
	}
	header, code := parseResponseHead(h)
	if code >= 100 && code < http.StatusOK {
		return // an interim response (RFC 9110, section 15.2)
	}
	out := engine.Outcome{Attempt: st.attempt, Result: balancer.Reset, Report: balancer.NoReport}
	if code != 0 { // 0: no backend can have sent that
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

// wasServedElsewhere reports whether the proxy says that another endpoint than the chosen one served, and counts that.
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

// handleResponseEnd ends the attempt of a 200 whose body is complete.
func (st *stream) handleResponseEnd() {
	if st.pendingOutcome != nil {
		st.endAttempt(*st.pendingOutcome)
	}
}

// endAttempt sends the outcome of the attempt in flight to the engine.
func (st *stream) endAttempt(out engine.Outcome) {
	st.isSettled = true
	st.attempt, st.pendingOutcome = nil, nil
	st.server.countResult(out.Result)
	st.server.Engine.EndAttempt(out)
}

// close settles what is open when the stream has ended with run's error: a 200 whose stream was closed properly is complete, any
// other attempt ends as cancelled, and a request without an attempt is abandoned.
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
	default: // the decision was handed over, and the attempt's end is not known
		st.server.Counts.gaveUpAfter.Add(1)
		st.endAttempt(engine.Outcome{Attempt: st.attempt, Result: balancer.Cancelled, Report: balancer.NoReport})
	}
}

// countAnswer counts a final answer that the agent gave itself.
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

// countResult counts how an attempt ended.
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

// logBadReport logs the first malformed load report.
func (s *Server) logBadReport(err error) {
	s.logOnce.report.Do(func() {
		s.Log.Warn("passing over a malformed report; further ones are not logged", "error", err)
	})
}
