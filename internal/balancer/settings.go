package balancer

import (
	"errors"
	"fmt"
	"time"
)

// Effect says what running a request of a class more than once would do.
type Effect int

// The effects of running a request again, the least harmful first.
const (
	Idempotent      Effect = iota // may run any number of times
	IdempotentByKey               // carries an idempotency key: its DedupScope drops duplicates for a while
	NonIdempotent                 // must never run twice
)

// DedupScope names the servers that share their memory of idempotency keys and so drop each other's
// duplicates.
type DedupScope int

// The scopes of deduplication.
const (
	DedupFleet DedupScope = iota // all servers
	DedupZone                    // those of one zone
	DedupCell                    // those of one cell
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Effect           Effect
	DedupScope       DedupScope    // of an IdempotentByKey class
	DedupWindow      time.Duration // of an IdempotentByKey class: how long after the first send
	LatencyObjective time.Duration // an answer within this time has its full value
	Deadline         time.Duration // how long the client waits, over all its retries
	Priority         float64       // value of an answer in time, relative to other classes
	Retired          bool          // takes no new requests: later settings have no such class
}

// Settings configure a Balancer at start. Only a ClassUpdate changes them later.
type Settings struct {
	Balancers              int           // balancers in front of the same servers
	Index                  int           // this balancer's number among them, the same after a restart
	Tick                   time.Duration // resolution of the clock and of timers
	Classes                []Class       // requests and outcomes name them by index
	Zone                   int           // where this balancer runs
	CrossZoneCost          float64       // of an attempt, as a ratio of a request's value; 0: free
	UseListWeights         bool          // weights in the endpoint list say something of the servers' capacities
	Subscribe              bool          // the endpoint list comes by a subscription that is asked for
	MaxPollInterval        time.Duration // without a subscription the list must be polled in this time; 0: any
	KeyAffinity            bool          // a server that handled a request's key lately does less work for it
	MaxAttempts            int           // for one request
	AllowHedging           bool          // a request may have two attempts in flight
	MaxRetryAfter          time.Duration // longest Retry-After that clients honor; 0: they are sent none
	SlowStartInitialRatio  float64       // a server starts with at least this ratio of its capacity
	SlowStartDuration      time.Duration // and has all of it after this time at the latest
	Quotas                 []float64     // ratio of the service, one for each tenant; may be empty
	OverQuotaPriorityRatio float64       // priority over a tenant's quota, as a ratio of its class's
	WarmingOverloadRatio   float64       // load over capacity at which a warming server collapses; 0: unknown
	ConfirmedRepeatsOnly   bool          // repeats by key are made only of what an answer shows to be read
	// AllowUnconfirmedRepeats: repeats by key go also to servers that do not show that they read.
	AllowUnconfirmedRepeats bool
}

// Validate returns an error that names the first setting that is out of its range.
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
