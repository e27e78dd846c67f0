package logic

import (
	"math/rand/v2"
	"time"
)

// Balancer decides for one client process. It is a deterministic state machine: equal settings, seed and
// events give equal actions. It is not safe for concurrent use. A restart is a new Balancer.
type Balancer struct {
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action
	servers  []*server // those of the list, in the order it first named them
	byID     map[string]*server
	requests map[string]*request // open, or with attempts in flight
	timers   map[uint64]*request
	token    uint64
	subset   int           // how many of the servers get its requests, at least
	crowd    int           // how many own attempts in flight want
	horizon  time.Duration // the longest aim: how far back averages over time look
	usual    []float64     // mean time to an answer, a class each
	budget   float64       // further attempts that may be made
	tries    int           // subscriptions that failed in a row
	asking   bool          // a timer to ask again is set
	trialBy  Effect        // the least harmful effect among the classes
	late     float64       // mean time taken over aim
	sent     float64       // own sends of the last shareTime horizons
	span     float64       // and the seconds that they took
	asked    []float64     // requests lately, a tenant each
	askedAll float64
	reports  bool    // some server has reported its load
	mute     bool    // some answer brought no report before that
	busy     float64 // use of the servers, as they report it
	shed     float64 // share of requests of mean worth that is refused
	whole    float64 // capacity of all when warm
	total    float64 // and at present
	well     float64 // and of those that are not ejected
	worth    float64 // mean worth of a request lately
}

// server is all that is known of one server.
type server struct {
	Server
	inFlight []*attempt    // own, oldest first
	took     float64       // own mean time to an answer in seconds, kept while no server reports
	rate     float64       // capacity in requests a second; 0 without an estimate
	trust    float64       // in the estimate: 1 after a report, less with time
	capacity float64       // the estimate, or the mean of the others where that is old
	done     float64       // reported requests a second, smoothed
	util     float64       // reported use, smoothed
	busy     float64       // and as last reported
	reported time.Duration // the latest report
	heard    time.Duration // the latest sign of life or, if later, the first send that waits for one
	asked    time.Duration // since when it owes answers all the time
	failing  float64       // share of failures among the latest outcomes
	until    time.Duration // ejected to then; 0 when not
	trial    bool          // one trial is under way
	weight   float64       // capacity at present, for the request at hand
	rank     uint64        // of the balancer's own order of the servers
}

type request struct {
	Request
	class    *Class
	attempts []*attempt
	out      int // attempts in flight
	closed   bool
	token    uint64 // of the timer for its deadline
}

type attempt struct {
	req      *request
	srv      *server
	zone     int // the server's when it was sent: a list may change them
	cell     int
	sent     time.Duration
	out      bool
	neverRan bool
}
