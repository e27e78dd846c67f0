package balancer

import "time"

// ActionKind names what an Action does, and so which of its fields count.
type ActionKind int

// The kinds of actions.
const (
	Send        ActionKind = iota // Request to Server, limited to After (0: until the client's deadline)
	Cancel                        // attempt number Attempt of Request; not used at present
	Reject                        // Request: repeating it does no harm; the client is to wait for After
	Fail                          // Request: no promise about its effect
	SetTimer                      // TimerFired with Token is due after After
	HealthCheck                   // Server; not used at present
	Subscribe                     // to the endpoint list
	Broadcast                     // Data to every other balancer; not used at present
)

// Reason says why a request was rejected or failed.
type Reason int

// The reasons of a Reject or a Fail.
const (
	ReasonLoadShed    Reason = iota // load shedding: the servers have too much to do
	ReasonListDrop                  // the endpoint list's owner wants a ratio of requests rejected
	ReasonNoServer                  // no server is eligible, or only ones warming up that have had their part
	ReasonRetryBudget               // the retry budget is used up
	ReasonExhausted                 // its time, its attempts or what its class allows is used up
)

// ReasonNames are the reasons' names in logs and metrics.
var ReasonNames = [...]string{ReasonLoadShed: "overload", ReasonListDrop: "withheld",
	ReasonNoServer: "no_server", ReasonRetryBudget: "no_budget", ReasonExhausted: "spent"}

// Action is something that the caller of a Balancer has to do. Actions take effect in order.
type Action struct {
	Kind      ActionKind
	Request   string
	Server    string
	Attempt   int
	WarmingUp bool // of a Send: the server is in slow start
	// TakeDelay is, of a Send that repeats by an idempotency key what may have run, how long after the write the
	// server may take it. It must be written that long before the dedup window ends.
	TakeDelay time.Duration
	Reason    Reason // of a Reject or a Fail
	After     time.Duration
	Token     uint64
	Data      []byte
}

func (b *Balancer) act(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) setTimer(token uint64, after time.Duration) {
	b.act(Action{Kind: SetTimer, Token: token, After: after})
}
