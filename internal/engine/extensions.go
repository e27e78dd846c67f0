package engine

import (
	"time"

	"appleledge/internal/balancer"
)

// endpointOverlay changes how the list of servers is seen behind it: it may call a ready server draining, or move the time
// at which one started. It never adds a server and never hides one.
type endpointOverlay interface {
	// overlayEndpoints takes an update as the overlays before it have left it, and returns it as those after it see it. The
	// update's members belong to the caller and are not changed in place.
	overlayEndpoints(now time.Duration, u EndpointUpdate) EndpointUpdate
}

// overlayStage is a place in the order of the overlays.
type overlayStage int

// The order in which an update of the list passes the overlays. A change that an overlay makes by itself enters at the stage
// that Engine.applyEndpoints is told.
const (
	overlayGenerations overlayStage = iota // drains of the configuration in force
	overlayDenylist                        // servers that operators deny
	overlayGossip                          // servers that other agents call draining or faulty
	overlayAffinity                        // only reads: the pod of each server
	overlayServerPool                      // only reads: the connections; they see no changed start times
	overlayRecovery                        // start times after an outage; only the balancer sees them
	overlayStageCount
)

// callHook looks at a new call before admission and the balancer do.
type callHook interface {
	// callArrived reports whether the call goes on to the next hook. If not, the hook has answered it or taken it over.
	callArrived(c *Call) (goesOn bool)
}

// The order in which a new call passes the hooks. What may have run of it under another id is looked up first: such a call is
// never rejected, which would promise that trying again is harmless.
const (
	callRecovery    = iota // whether it may have run before an outage
	callAffinity           // whether it may have run under another id, and where
	callExternal           // what is remembered of an external caller's earlier attempts
	callGenerations        // binds it to the configuration in force, whose limits may reject it
	callCoalescing         // takes it over where an equal one is in flight
	callHookCount
)

// attemptHook learns of each attempt.
type attemptHook interface {
	// attemptStarting is called before an attempt is handed to its transport. The hook may forbid it or set what it has to
	// wait for. earlierSent is when the first earlier attempt was sent that may have run, 0 without one.
	attemptStarting(a *Attempt, earlierSent time.Duration)
	// attemptEnded is called once for each attempt, before the balancer learns of it. The outcome is as it was reported;
	// result is what is known of the server that was chosen: Cancelled where another server gave the outcome.
	attemptEnded(o Outcome, result balancer.Result)
}

// The order in which attempts pass the hooks.
const (
	attemptRecovery = iota // forbids retries that nobody is left to drop as repeats
	attemptOverload        // forbids retries beyond the fleet's budget; must know what recovery forbids
	attemptAffinity        // binds the key to the server's pod
	attemptHookCount
)

// timedExtension has timers of its own.
type timedExtension interface {
	// nextTimer returns when fireTimers is due next, if the engine has to wake for it.
	nextTimer() (at time.Duration, ok bool)
	// fireTimers does what is due. It is called after each event and each timer, also when nothing is due.
	fireTimers()
}

// The order in which extensions are asked for their timers, after the balancer's.
const (
	timedCoalescing = iota
	timedGossip
	timedGenerations
	timedExtensionCount
)

// extensions holds what is switched on, by kind and order; nil entries are switched off.
type extensions struct {
	overlays     [overlayStageCount]endpointOverlay
	callHooks    [callHookCount]callHook
	attemptHooks [attemptHookCount]attemptHook
	timed        [timedExtensionCount]timedExtension
}
