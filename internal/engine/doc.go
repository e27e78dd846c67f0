// Package engine owns the lifecycle of requests: it takes calls from the downstream servers, asks the balancer where each
// goes, starts the attempts, keeps the timers and gives every call exactly one final answer. It knows no protocol: a call
// carries a payload that only its downstream server and its transport read.
//
// # One goroutine
//
// All state belongs to one goroutine, the one that runs Engine.Run. Other goroutines talk to it by events of a closed set of
// types (events.go), which Post puts into a bounded queue; Post blocks while the queue is full and drops the event once the
// engine has ended. The engine does no I/O and waits for nothing but the next event or timer, so whatever it calls must not
// block: Responder.Answer, ExternalCaller.HandOver and Released, AsyncTransport.Start, BindingLog.Append, ServerPool.Update,
// the balancer and all extensions. What may block runs in a goroutine of the attempt: Transport.RoundTrip and
// BindingCommit.Wait. Simulations have no goroutine: they call Start once, then Handle for each event and at each NextTimer.
//
// # Lifecycle of a call
//
//  1. Arrive: a downstream server hands a Call over. A second call under the id of a call in flight is answered Conflict. A call of
//     an ExternalCaller may be a further attempt of an open call, which it then resumes (external.go).
//  2. The call hooks look at it, in their order. Each may answer it or take it over.
//  3. Admission admits or rejects it, then the balancer decides: send, reject or fail.
//  4. Send: the engine makes an Attempt, tells the attempt hooks, and starts the Transport, or hands it to the ExternalCaller.
//  5. The attempt ends with one Outcome. A served one is the final answer; else the balancer may decide on a retry.
//  6. The final answer: Served, Rejected (a retry is harmless), Failed (it may have run) or Conflict. Once a
//     call has its answer and no attempt in flight it is forgotten.
//
// ClientLeft ends a call without an answer; ForceAnswer answers it at once, when the process ends or its time is over.
//
// # Extensions
//
// What an agent may do besides balancing is an extension in a file of its own. An extension implements those of the small
// interfaces of extensions.go that fit it, and the engine calls the implementations of each in a fixed order; one that is
// switched off is nil and costs a comparison. The Set methods switch them on, before Run.
//
//	file           extension          endpoint list  call  attempt  timers
//	generation.go  generationOverlay  1 drains       4     -        3       configuration generations
//	denylist.go    denylistOverlay    2 drains       -     -        -       servers that operators deny
//	gossip.go      gossipOverlay      3 drains       -     -        2       servers that other agents observe to be draining or faulty
//	affinity.go    affinityBinder     4 reads        2     3        -       sticky bindings of idempotency keys
//	endpoints.go   serverPoolUpdater  5 reads        -     -        -       connections to the servers
//	recovery.go    recoveryOverlay    6 start times  1     1        -       ramp after an outage
//	overload.go    overloadHook       -              -     2        -       retry budgets shared by the fleet
//	external.go    externalCalls      -              3     -        -       memory of how external callers' calls ended
//	coalescing.go  coalescer          -              5     -        1       one attempt for equal calls
//
// An overlay changes how those after it see a server; it never adds one. When its own state changes, it passes the
// changed servers on to the overlays after it, so what an overlay keeps is the list as those before it have left it. Admission
// (admission.go) is no call hook: it also decides on the flights that stand for coalesced calls, which no hook sees.
package engine
