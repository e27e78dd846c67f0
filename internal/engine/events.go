package engine

import (
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/affinity"
	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/generation"
)

// Event is a message to the engine's goroutine. The set of types is closed: those of this file, and Outcome.
type Event interface{ event() }

// Events of calls.
type (
	// callArrived brings a new call.
	callArrived struct{ call *Call }
	// clientLeft says that nobody waits for the answer any more.
	clientLeft struct{ call *Call }
	// answerForced asks for the final answer of a call now.
	answerForced struct {
		call   *Call
		reason UnservedReason
	}
	// idClaimed says whether no other process of the agent has used the id of a call.
	idClaimed struct {
		call   *Call
		isFree bool
	}
	// abandoned says that an external caller has ended and holds no attempt of the call under the id.
	abandoned struct {
		id string
		by ExternalCaller
	}
)

// Events of attempts.
type (
	// attemptRejected says that an attempt could not be handed on by an external caller, which still waits.
	attemptRejected struct{ attempt *Attempt }
	// bodySent says that the last byte of an attempt's body was written.
	bodySent struct {
		attempt  *Attempt
		deadline time.Duration // when the client will have given up
	}
	// uploadEnding asks whether the last part of an attempt's body may be written. The reply channel must have room for one value.
	uploadEnding struct {
		attempt *Attempt
		reply   chan<- uploadPermit
	}
	// bindingCommitted says that the wait for an attempt's binding is over, so that it may be handed over: the binding is
	// durable, or was not in time.
	bindingCommitted struct{ attempt *Attempt }
	// bindingNotDurable says that a binding was not durable in time.
	bindingNotDurable struct{}
)

// Events of the control plane.
type (
	// EndpointUpdate brings the endpoint list or a change of it.
	EndpointUpdate struct {
		Full    bool // Members is the whole list, not a change
		Members []Member
		Drop    float64 // the part of requests that is to be rejected, from 0 to 1
	}
	// EndpointsUnavailable says that a subscription to the endpoint list ended or could not be had.
	EndpointsUnavailable struct{}
	// SettingsChanged brings changed settings and their version. Each extension gets the classes as it needs them.
	SettingsChanged struct {
		balancer.ClassUpdate
		Version    int
		Coalescing []coalesce.Class
		Admission  []admission.Class
		Names      generation.Names
	}
	// UsedIDsLearned brings the ids that another process of the agent has used for calls that must not run twice.
	UsedIDsLearned struct{ IDs []IDDigest }
	// BindingsRestored brings bindings that another process or an earlier run has logged.
	BindingsRestored struct{ Records []affinity.Record }
)

// Events of the fleet.
type (
	// gossipReceived brings an observation of another agent.
	gossipReceived struct {
		from        int
		observation gossip.Observation
	}
	// livenessChanged brings which agents are alive, by number.
	livenessChanged struct{ alive []bool }
	// overloadReported brings another agent's report on overload.
	overloadReported struct {
		from int
		body []byte
	}
)

// Requests to the engine's goroutine.
type (
	// statsRequested asks for Stats. The reply channel must have room for one value.
	statsRequested struct{ reply chan<- Stats }
	// execution is work for the engine's goroutine; done is closed behind it.
	execution struct {
		do   func(now time.Duration)
		done chan<- struct{}
	}
)

func (callArrived) event()          {}
func (clientLeft) event()           {}
func (answerForced) event()         {}
func (idClaimed) event()            {}
func (abandoned) event()            {}
func (Outcome) event()              {}
func (attemptRejected) event()      {}
func (bodySent) event()             {}
func (uploadEnding) event()         {}
func (bindingCommitted) event()     {}
func (bindingNotDurable) event()    {}
func (EndpointUpdate) event()       {}
func (EndpointsUnavailable) event() {}
func (SettingsChanged) event()      {}
func (UsedIDsLearned) event()       {}
func (BindingsRestored) event()     {}
func (gossipReceived) event()       {}
func (livenessChanged) event()      {}
func (overloadReported) event()     {}
func (statsRequested) event()       {}
func (execution) event()            {}

// CallArrived returns the event that Arrive posts, for Handle.
func CallArrived(c *Call) Event { return callArrived{c} }

// GossipReceived returns the event that HandleGossip posts, for Handle.
func GossipReceived(from int, o gossip.Observation) Event { return gossipReceived{from, o} }

// OverloadReported returns the event that HandleOverloadReport posts, for Handle.
func OverloadReported(from int, body []byte) Event { return overloadReported{from, body} }
