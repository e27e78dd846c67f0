package extproc

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

// cancellableContext is the context of a stream that the server can cancel. gRPC cancels a stream's own context only when
// the stream ends, so that without it a proxy that neither sends nor reads could keep a stream open for ever.
type cancellableContext struct {
	context.Context
	cancel context.CancelFunc
}

type cancellableContextKey struct{}

// Value returns the context itself for cancellableContextKey, so that it is found below the contexts that gRPC adds.
func (b *cancellableContext) Value(key any) any {
	if key == (cancellableContextKey{}) {
		return b
	}
	return b.Context.Value(key)
}

// admit is gRPC's tap handle, called for each new stream before it has a goroutine. It rejects streams over the limit and
// gives the others a cancellable context.
func (s *Server) admit(ctx context.Context, info *tap.Info) (context.Context, error) {
	if s.openStreams.Load() >= int64(s.Settings.MaxOpen) && info.FullMethodName == processorMethod {
		return nil, s.tooMany()
	}
	ctx, cancel := context.WithCancel(ctx)
	return &cancellableContext{ctx, cancel}, nil
}

// tooMany counts a rejected stream and returns its status.
func (s *Server) tooMany() error {
	s.Counts.streamsRefused.Add(1)
	return status.Error(codes.ResourceExhausted, "too many streams are open")
}

// acquireStreamSlot counts a stream as open and reports whether that kept within MaxOpen; if not, it changes nothing.
func (s *Server) acquireStreamSlot() bool {
	for {
		n := s.openStreams.Load()
		if n >= int64(s.Settings.MaxOpen) {
			return false
		}
		if s.openStreams.CompareAndSwap(n, n+1) {
			return true
		}
	}
}
