package extproc

import (
	"context"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"appleledge/internal/engine"
)

// readiness is gRPC's health service. Its status is SERVING while the engine is ready.
type readiness struct {
	*health.Server
	engine *engine.Engine
}

// Check has the same answer for the whole server ("") and for the external processor's service, NOT_FOUND for any other.
func (r *readiness) Check(_ context.Context, req *healthv1.HealthCheckRequest) (*healthv1.HealthCheckResponse, error) {
	if name := req.GetService(); name != "" && name != extprocv3.ExternalProcessor_ServiceDesc.ServiceName {
		return nil, status.Error(codes.NotFound, "unknown service")
	}
	state := healthv1.HealthCheckResponse_NOT_SERVING
	if r.engine.Ready() {
		state = healthv1.HealthCheckResponse_SERVING
	}
	return &healthv1.HealthCheckResponse{Status: state}, nil
}
