package balancer

import "time"

// State is what the endpoint list says of a server.
type State int

// The states of a server.
const (
	Ready    State = iota
	Draining       // finishes its work and gets nothing new
	Removed        // no longer listed; occurs in changes of the list only
)

// Server is an entry of the endpoint list.
type Server struct {
	ID      string
	State   State
	Zone    int
	Cell    int           // a small set of servers that drop each other's duplicates
	Weight  float64       // the list's figure for its size
	Started time.Duration // its latest start, on the clock of the events; 0: long ago
}

// Report is a server's load report. A negative figure is one that it doesn't state.
type Report struct {
	Utilization float64 // ratio of its cores' time in use
	ServedRate  float64 // requests completed per second
	ErrorRate   float64 // errors per second
	InFlight    float64 // requests being worked on
	QueueLength float64 // requests waiting
}

// NoReport is the Report of an answer that carried none.
var NoReport = Report{Utilization: -1, ServedRate: -1, ErrorRate: -1, InFlight: -1, QueueLength: -1}

// Result is how an attempt or a health check ended.
type Result int

// The results of an attempt.
const (
	OK            Result = iota // served
	Failed                      // an error came back; it may have run
	Rejected                    // rejected before it was read; it never ran
	TimedOut                    // no answer in the time allowed; it may have run
	ConnectFailed               // no connection in time, or it broke before the last byte; it never ran
	Reset                       // the connection broke; it may have run
	Cancelled                   // withdrawn; it may have run
	NotSent                     // its last byte never left the agent: too late, no room, or its head unread
)

// ResultNames are the results' names in logs and metrics.
var ResultNames = [...]string{OK: "ok", Failed: "failed", Rejected: "rejected", TimedOut: "timed_out",
	ConnectFailed: "connect_failed", Reset: "reset", Cancelled: "cancelled", NotSent: "not_sent"}

// ProvesNotRun reports whether the result proves that the attempt had no effect.
func (r Result) ProvesNotRun() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Event is an input of a Balancer: one of the types below.
type Event interface{ event() }

type (
	// ServerList brings the endpoint list or a change of it. The Balancer only reads the slice, and doesn't keep
	// it.
	ServerList struct {
		Full      bool // the whole list, and not only the entries that changed
		Servers   []Server
		DropRatio float64 // ratio of requests that the list's owner wants rejected, from 0 to 1
	}
	// ListUnavailable says that a poll of the endpoint list failed or that its subscription broke.
	ListUnavailable struct{}
	// Request is a client's request. It is owed one final answer: an OK outcome, a Reject or a Fail.
	Request struct {
		ID                  string
		Class, Tenant       int
		Key                 string         // affinity key; may be empty
		Deadline            time.Duration  // when the client gives this request up, on the clock of the events
		IsClientRetry       bool           // the client says that it repeats an earlier request
		AllowedServers      []string       // ids of the servers to choose among, sorted; nil: any
		ManualRetry         bool           // one attempt at a time, and another only when a Retry asks for it
		MaxAttempts         int            // where fewer than Settings.MaxAttempts; 0: as many as those
		Earlier             EarlierAttempt // what may have run for the same key under another id
		UsesPreviousClasses bool           // its Class counts in the classes before the latest ClassUpdate
		StreamsBody         bool           // its body still arrives while attempts are sent, until BodySent
	}
	// BodySent says that an attempt of a request that StreamsBody is written completely. From now on the server
	// owes the answer, until Deadline.
	BodySent struct {
		Request  string
		Attempt  int
		Deadline time.Duration
	}
	// ClassUpdate replaces the classes and the limits of attempts. Classes keep their indexes: new ones are
	// appended, and those that are no more are Retired. Open requests keep the class that they came with.
	ClassUpdate struct {
		Classes      []Class
		MaxAttempts  int
		AllowHedging bool
	}
	// EarlierAttempt is an attempt that an earlier request made for the same key. The zero value is none.
	EarlierAttempt struct {
		MayHaveRun bool
		SentAt     time.Duration
		Zone, Cell int // of its server
	}
	// Retry asks for another attempt of a ManualRetry request that has none in flight. It is answered by a Send,
	// or by the final answer where no other attempt is allowed.
	Retry struct {
		Request        string
		AllowedServers []string // as of a Request, in place of the earlier ones
	}
	// Outcome ends one attempt. Every Send gets exactly one. The first OK answers the client without a further
	// action.
	Outcome struct {
		Request       string
		Attempt       int // counted from 0 in the order of the sends
		Server        string
		Result        Result
		Latency       time.Duration // from send to end
		Waited        time.Duration // from the time at which it was written, where that is known, to its end
		RequestClosed bool          // the request needs no final answer any more
		// RetryForbidden says of a NotSent that the caller's own budget allows the request no further attempt.
		RetryForbidden bool
		// Unread says of a NotSent that the server did not read the attempt's head in the time allowed.
		Unread bool
		// OriginalUnread says of a NotSent that nothing shows that the server of the first attempt has read that.
		OriginalUnread bool
		// HeadWritten says of a ConnectFailed that the connection was there, and broke behind the head.
		HeadWritten bool
		// OmitsContinue says that the server is known not to ask for the body of a request whose head it has read.
		OmitsContinue bool
		Report        Report
	}
	// ResponseStarted says that a streamed answer has begun: the attempt can't be replaced any more.
	ResponseStarted struct {
		Request string
		Attempt int
	}
	// ClientDisconnected says that the client left: no final answer is owed.
	ClientDisconnected struct{ Request string }
	// HealthCheckResult is the result of a HealthCheck. It is accepted and has no effect at present.
	HealthCheckResult struct {
		Server  string
		Result  Result
		Latency time.Duration
		Report  Report
	}
	// PeerMessage comes from another balancer. It is accepted and has no effect at present.
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
