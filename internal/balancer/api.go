// Package balancer holds the decisions of a client-side load balancer: which server gets a request, when an
// attempt is given up or repeated, and what is refused. Every client process has a Balancer of its own; they
// share nothing. A Balancer does no I/O and reads no clock: events go in with the time, actions come out.
package balancer

import (
	"errors"
	"fmt"
	"time"
)

// Effect says what repeating a request of a class would do.
type Effect int

// The effects of a repeat.
const (
	Idempotent      Effect = iota // may be repeated at will
	IdempotentByKey               // carries a key: repeats are dropped within a group, for a while
	NonIdempotent                 // must never run twice
)

// DedupScope names the servers that drop repeats of a keyed request among themselves.
type DedupScope int

// The groups of servers.
const (
	DedupFleet DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one class of request.
type Class struct {
	Name             string
	Effect           Effect
	DedupScope       DedupScope    // of a keyed class
	DedupWindow      time.Duration // of a keyed class: repeats are dropped so long after the first send
	LatencyObjective time.Duration // an answer within this time earns the full worth
	Deadline         time.Duration // the client's patience over all its tries
	Priority         float64
	Retired          bool // takes no new requests, as later settings have it no more
}

// Settings are all that a Balancer is told at start. Retune alone changes them while it lives.
type Settings struct {
	Balancers              int           // how many balancers front the same servers
	Index                  int           // the number of this one among them, the same after a restart
	Tick                   time.Duration // the least time between two events; timers are that exact
	Classes                []Class
	Zone                   int           // where this balancer runs
	CrossZoneCost          float64       // what an attempt in another zone costs, as a share of a request; 0 for nothing
	UseListWeights         bool          // the list's weights say something of the servers' capacities
	Subscribe              bool          // the list of servers must be subscribed to
	MaxPollInterval        time.Duration // unsubscribed, the list must be asked for in this time; 0: no limit
	KeyAffinity            bool          // a server that met a request's key lately does less work for it
	MaxAttempts            int           // for one request
	AllowHedging           bool          // a request may have two attempts out at a time
	MaxRetryAfter          time.Duration // the longest come-back time that clients heed; 0 where they are given none
	SlowStartInitialRatio  float64       // a server starts with this share of its capacity at least
	SlowStartDuration      time.Duration // and has all of it after this time at the latest
	Quotas                 []float64     // of the service, one for each tenant; may be empty
	OverQuotaPriorityRatio float64       // what a request over its tenant's share is worth, as a part of its worth
	WarmingOverloadRatio   float64       // a cold server topples at this multiple of its capacity; 0 if not known
}

// Validate says in plain words what is wrong with the settings.
func (set *Settings) Validate() error {
	if len(set.Classes) == 0 {
		return errors.New("logic: settings name no class of requests")
	}
	for _, c := range set.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("logic: class %q needs an aim and a deadline above 0", c.Name)
		}
		if c.Effect == IdempotentByKey && c.DedupWindow <= 0 {
			return fmt.Errorf("logic: keyed class %q needs a window above 0", c.Name)
		}
	}
	for i, share := range set.Quotas {
		if share <= 0 || share > 1 {
			return fmt.Errorf("logic: the share of tenant %d must be above 0 and at most 1", i)
		}
	}
	if set.OverQuotaPriorityRatio < 0 || set.OverQuotaPriorityRatio > 1 {
		return errors.New("logic: the worth over a share must be from 0 to 1")
	}
	if set.MaxPollInterval < 0 {
		return errors.New("logic: the time in which to ask for the list must not be below 0")
	}
	if set.Balancers < 1 {
		return errors.New("logic: settings count no balancer")
	}
	if set.MaxAttempts < 1 {
		return errors.New("logic: settings allow no attempt")
	}
	if set.SlowStartDuration > 0 && (set.SlowStartInitialRatio <= 0 || set.SlowStartInitialRatio > 1) {
		return errors.New("logic: the cold share must be above 0 and at most 1")
	}
	if set.WarmingOverloadRatio < 0 {
		return errors.New("logic: the multiple that topples a cold server must not be below 0")
	}
	return nil
}

// State is what the list says of a server.
type State int

// The states of a server.
const (
	Ready    State = iota
	Draining       // finishes its work; gets nothing new
	Removed        // removed; in changes only
)

// Server is an entry of the list.
type Server struct {
	ID      string
	State   State
	Zone    int
	Cell    int           // a small set of servers that drop each other's repeats
	Weight  float64       // the list's figure for its size
	Started time.Duration // its latest start, on the clock of the events; 0 for long ago
}

// Report is what a server says of its own load. A negative figure is one that it does not state.
type Report struct {
	Utilization float64 // share of its cores' time in use
	ServedRate  float64 // requests done a second
	ErrorRate   float64 // errors a second
	InFlight    float64
	QueueLength float64
}

// NoReport is the Report of an answer that brought none.
var NoReport = Report{Utilization: -1, ServedRate: -1, ErrorRate: -1, InFlight: -1, QueueLength: -1}

// Result is how an attempt or a probe ended.
type Result int

// The results of an attempt.
const (
	OK            Result = iota // served
	Failed                      // an error came back; it may have run
	Rejected                    // turned away unseen; it never ran
	TimedOut                    // no answer in the time allowed; it may have run
	ConnectFailed               // no connection in time; it never ran
	Reset                       // the connection broke; it may have run
	Cancelled                   // withdrawn; it may have run
	NotSent                     // not sent at all: too late, or one attempt too many
)

// ResultNames are their names, for logs and figures.
var ResultNames = [...]string{OK: "ok", Failed: "failed", Rejected: "rejected", TimedOut: "timed_out", ConnectFailed: "connect_failed",
	Reset: "reset", Cancelled: "cancelled", NotSent: "not_sent"}

// neverRan reports whether the result proves that the request had no effect.
func (r Result) neverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Event is something that a Balancer is told: one of the types below.
type Event interface{ event() }

type (
	// ServerList brings the list of servers or a change of it. The slice is only read.
	ServerList struct {
		Full      bool // the whole list, not only the entries that changed
		Servers   []Server
		DropRatio float64 // the share of requests that the list's owner wants turned away, from 0 to 1
	}
	// ListUnavailable says that a call to the list failed or the subscription broke.
	ListUnavailable struct{}
	// Request is a client's request. It is owed one final answer: a served attempt, a Refuse or a Fail.
	Request struct {
		ID                  string
		Class, Tenant       int
		Key                 string         // what it is about; may be empty
		Deadline            time.Duration  // when the client gives this try up, on the clock of the events
		IsClientRetry       bool           // the client's own repeat, where clients say so
		AllowedServers      []string       // ids of the servers to choose among, sorted; nil: any
		ManualRetry         bool           // one attempt at a time, and a further one only when a Retry asks for it
		MaxAttempts         int            // that it may have in all, where that is fewer than MaxAttempts; 0: those
		Earlier             EarlierAttempt // what may have run of it under another id
		UsesPreviousClasses bool           // its class is as it was before the latest Retune
		StreamsBody         bool           // its attempts are written while it still comes, which Written ends
	}
	// BodySent says that an attempt of a request that Uploads is written whole, so that its server owes the answer from now
	// on, and until when.
	BodySent struct {
		Request  string
		Attempt  int
		Deadline time.Duration
	}
	// ClassUpdate changes the classes and how many attempts a request may have. Classes keep their numbers: new ones come
	// behind, and those that are no more are Dropped. Requests keep the class that they came under.
	ClassUpdate struct {
		Classes      []Class
		MaxAttempts  int
		AllowHedging bool
	}
	// Earlier is an attempt that was made for the same key by an earlier request. The zero value is none.
	EarlierAttempt struct {
		MayHaveRun bool // it may have run
		SentAt     time.Duration
		Zone, Cell int
	}
	// Retry asks for a further attempt of an ManualRetry request of which none is out. It is answered with a Send, or
	// with the final answer where another attempt is not allowed.
	Retry struct {
		Request        string
		AllowedServers []string // as of a Request; that of before holds no longer
	}
	// Outcome ends one attempt. Every Send gets one. The first OK answers the client by itself.
	Outcome struct {
		Request       string
		Attempt       int // numbered from 0 in the order of the sends
		Server        string
		Result        Result
		Latency       time.Duration
		RequestClosed bool // the request needs no final answer any more
		Report        Report
	}
	// ResponseStarted says that a streamed answer has begun: the attempt belongs to the client now.
	ResponseStarted struct {
		Request string
		Attempt int
	}
	// ClientDisconnected says that the client left; nothing more is owed.
	ClientDisconnected struct{ Request string }
	// HealthCheckResult is the result of a probe.
	HealthCheckResult struct {
		Server  string
		Result  Result
		Latency time.Duration
		Report  Report
	}
	// PeerMessage comes from another balancer.
	PeerMessage struct {
		From int
		Data []byte
	}
	// TimerFired says that a timer set by SetTimer is due.
	TimerFired struct{ Token uint64 }
)

func (ServerList) event()         {}
func (ListUnavailable) event()    {}
func (Request) event()            {}
func (Retry) event()              {}
func (ClassUpdate) event()        {}
func (BodySent) event()           {}
func (Outcome) event()            {}
func (ResponseStarted) event()    {}
func (ClientDisconnected) event() {}
func (HealthCheckResult) event()  {}
func (PeerMessage) event()        {}
func (TimerFired) event()         {}

// ActionKind names what an Action does and which of its fields count.
type ActionKind int

// The kinds of actions.
const (
	Send        ActionKind = iota // Request to Server, given up after After (0: when the client does)
	Cancel                        // attempt number Attempt of Request; not used at present
	Reject                        // Request: trying again does no harm; the client stays away for After
	Fail                          // Request: no promise about its effect
	SetTimer                      // TimerFired with Token comes after After
	HealthCheck                   // Server
	Subscribe                     // to the list of servers
	Broadcast                     // every other balancer of Data
)

// Reason says why a request was given up. Refusals and failures have one.
type Reason int

// The reasons why requests are given up.
const (
	ReasonLoadShed    Reason = iota // it gave way, as servers have too much to do
	ReasonListDrop                  // the list's owner wants so many turned away
	ReasonNoServer                  // there is none that it may go to, or only cold ones that have had their part
	ReasonRetryBudget               // further attempts are used up
	ReasonExhausted                 // its time, its attempts, or what its class allows are
)

// ReasonNames are their names, for logs and figures.
var ReasonNames = [...]string{ReasonLoadShed: "overload", ReasonListDrop: "withheld", ReasonNoServer: "no_server", ReasonRetryBudget: "no_budget", ReasonExhausted: "spent"}

// Action is something that the Balancer wants done. Actions take effect in order.
type Action struct {
	Kind      ActionKind
	Request   string
	Server    string
	Attempt   int
	WarmingUp bool   // of a Send: the server has started lately
	Reason    Reason // of a Refuse or a Fail
	After     time.Duration
	Token     uint64
	Data      []byte
}

// Handle takes one event and returns what is to be done, in order. The actions hold until the next call. What
// concerns a request, attempt or server that is not known is passed over. The time is that of a clock which
// all balancers and servers have, to a small part of an aim; a rule is never broken by one that is off.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.now, b.actions = now, b.actions[:0]
	switch e := ev.(type) {
	case ServerList:
		b.list(e)
	case ListUnavailable:
		b.resubscribe()
	case Request:
		b.request(e)
	case Retry:
		b.retry(e)
	case ClassUpdate:
		b.retune(e)
	case BodySent:
		b.written(e)
	case Outcome:
		b.outcome(e)
	case ResponseStarted:
		if r := b.requests[e.Request]; r != nil {
			b.close(r)
		}
	case ClientDisconnected:
		if r := b.requests[e.Request]; r != nil {
			b.close(r)
		}
	case TimerFired:
		b.fired(e.Token)
	}
	return b.actions
}

// InFlight counts the attempts that are out, by server; servers with none are left out. Those that the list does not
// name any more count under their old ids, where a request still holds them.
func (b *Balancer) InFlight() map[string]int {
	out := map[string]int{}
	for _, r := range b.requests {
		for _, a := range r.attempts {
			if a.out {
				out[a.srv.ID]++
			}
		}
	}
	return out
}

// Stats is what a Balancer believes of the fleet and of its requests.
type Stats struct {
	Utilization          float64 // of the servers, as they report it
	LatencyRatio         float64 // mean time taken over aim
	InFlightLatencyRatio float64 // the same by what is in flight
	ShedRatio            float64 // share of requests of mean worth that is refused
	SubsetSize           int     // servers of the view
	WarmingUp            int     // of the list
	Ejected              int
	PeakServedRate       float64 // a second that it was served at best of late
}

// Stats returns what the Balancer believes just now.
func (b *Balancer) Stats() Stats {
	return Stats{Utilization: b.busy, LatencyRatio: b.late, InFlightLatencyRatio: b.waiting, ShedRatio: b.shed, SubsetSize: b.edge, WarmingUp: len(b.young), Ejected: len(b.ill),
		PeakServedRate: b.usually}
}

// Ejected are the ids of servers that the balancer keeps out as ill.
func (b *Balancer) Ejected() map[string]bool {
	out := map[string]bool{}
	for _, s := range b.ill {
		if b.ejected(s) {
			out[s.ID] = true
		}
	}
	return out
}

func (b *Balancer) act(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) timer(token uint64, after time.Duration) {
	b.act(Action{Kind: SetTimer, Token: token, After: after})
}
