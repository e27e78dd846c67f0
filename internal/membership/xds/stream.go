package xds

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"appleledge/internal/membership"
)

// stream is one stream to the control plane. The goroutine of Source.Run owns it; a second one receives.
type stream struct {
	*Source
	client      *protocolClient
	nacks       map[string]*nackBackoff
	to          membership.Sink
	conn        *grpc.ClientConn
	send        func(message) error
	hasReported bool // an update came on it
}

// run opens the stream and serves it until it breaks. The receiving goroutine ends with the context, when run returns.
func (s *stream) run(ctx context.Context, client discoveryv3.AggregatedDiscoveryServiceClient) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	receive, err := s.open(ctx, client)
	if err != nil {
		return err
	}
	responses, receiveErr := make(chan message), make(chan error, 1)
	go receiveAll(ctx, receive, responses, receiveErr)
	for _, nacks := range s.nacks {
		nacks.dropPending()
	}
	for _, m := range s.client.openStream() {
		if err := s.send(m); err != nil {
			return fmt.Errorf("asking: %w", err)
		}
	}
	return s.serve(ctx, responses, receiveErr)
}

// receiveAll hands over what the stream receives until it breaks or the context ends. It has a goroutine of its own, which run starts.
func receiveAll(ctx context.Context, receive func() (message, error), responses chan<- message, receiveErr chan<- error) {
	for {
		m, err := receive()
		if err != nil {
			receiveErr <- err
			return
		}
		select {
		case responses <- m:
		case <-ctx.Done():
			return
		}
	}
}

// serve handles responses and timers until the stream ends.
func (s *stream) serve(ctx context.Context, responses <-chan message, receiveErr <-chan error) error {
	initialFetch := time.NewTimer(s.options.InitialFetchTimeout)
	defer initialFetch.Stop()
	nackTimer := time.NewTimer(0)
	defer nackTimer.Stop()
	resume := time.NewTimer(resumeDelay)
	defer resume.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-receiveErr:
			return fmt.Errorf("the stream ended: %w", err)
		case <-initialFetch.C:
			if !s.hasReported {
				s.to.Disconnected(errNoInitialEndpoints)
				s.log.Warn("the control plane says nothing", "server", s.options.Server, "error", errNoInitialEndpoints)
			}
		case <-resume.C:
			s.resumeUnchanged()
		case <-nackTimer.C:
		case m := <-responses:
			if err := s.handleMessage(m); err != nil {
				return err
			}
		}
		if err := s.sendDueNacks(nackTimer); err != nil {
			return err
		}
	}
}

// resumeDelay is how long a stream has to hold before what was held before it counts as up to date, though nothing has come on it.
const resumeDelay = time.Second

// resumeUnchanged reports that what was held before the stream is up to date. A control plane that has nothing newer than the versions that
// the stream named sends nothing, and without this the source would count as disconnected for good.
func (s *stream) resumeUnchanged() {
	if s.hasReported || s.conn.GetState() != connectivity.Ready {
		return
	}
	if u, ok := s.client.takeUpdate(); ok {
		s.hasReported = true
		s.to.Update(u)
	}
}

// handleMessage handles one response.
func (s *stream) handleMessage(m message) error {
	answers, nackReason := s.client.handleResponse(m)
	if len(answers) == 0 { // it was not subscribed to
		s.logNack(m, nackReason)
		return nil
	}
	nacks := s.nacks[m.typeURL]
	if nackReason != nil {
		s.logNack(m, nackReason)
		nacks.schedule(s.clock.Now(), answers[0])
		answers = answers[1:]
	} else {
		nacks.reset()
	}
	for _, a := range answers {
		if err := s.send(a); err != nil {
			return fmt.Errorf("answering: %w", err)
		}
	}
	if u, ok := s.client.takeUpdate(); ok {
		s.hasReported = true
		s.to.Update(u)
	}
	return nil
}

// sendDueNacks sends the refusals whose time has come and sets the timer for the next.
func (s *stream) sendDueNacks(timer *time.Timer) error {
	now, next := s.clock.Now(), time.Duration(math.MaxInt64)
	for _, nacks := range s.nacks {
		if answer, ok := nacks.takeDue(now); ok {
			if err := s.send(answer); err != nil {
				return fmt.Errorf("refusing: %w", err)
			}
		} else if nacks.dueAt > 0 {
			next = min(next, nacks.dueAt-now)
		}
	}
	timer.Reset(next)
	return nil
}

// logNack logs why a response is refused, at most once in LogInterval for a type.
func (s *stream) logNack(m message, err error) {
	nacks := s.nacks[m.typeURL]
	if nacks == nil {
		nacks = s.nacks[EndpointType]
	}
	if skipped, ok := nacks.shouldLog(s.clock.Now(), s.options.LogInterval); ok {
		s.log.Warn("refusing what the control plane sends; the last good one stands", "type", m.typeURL[strings.LastIndex(m.typeURL, ".")+1:],
			"version", m.version, "error", oneLine(err), "more_since", skipped)
	}
}

// open opens a stream of the variant that is wanted and sets send.
func (s *stream) open(ctx context.Context, client discoveryv3.AggregatedDiscoveryServiceClient) (receive func() (message, error), err error) {
	if s.options.Incremental {
		stream, err := client.DeltaAggregatedResources(ctx)
		if err != nil {
			return nil, err
		}
		s.send = func(m message) error { return stream.Send(s.deltaRequest(m)) }
		return func() (message, error) { return fromDelta(stream.Recv()) }, nil
	}
	stream, err := client.StreamAggregatedResources(ctx)
	if err != nil {
		return nil, err
	}
	s.send = func(m message) error { return stream.Send(s.worldRequest(m)) }
	return func() (message, error) { return fromWorld(stream.Recv()) }, nil
}
