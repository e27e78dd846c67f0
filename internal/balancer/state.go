package balancer

import (
	"math/rand/v2"
	"time"

	"appleledge/internal/balancer/weighted"
)

// pool is what servers are drawn from, and race what finds the home of a key.
type (
	pool = weighted.Pool[*server]
	race = weighted.Rendezvous
)

// Balancer decides for one client process. It is a deterministic state machine: equal settings, seed and
// events give equal actions. It is not safe for concurrent use. A restart is a new Balancer.
type Balancer struct {
	set      Settings
	was      []Class // the classes before the latest Retune
	rng      *rand.Rand
	now      time.Duration
	actions  []Action
	servers  []*server // those of the list, in the balancer's own order
	byID     map[string]*server
	cells    map[int][]*server // the same, by cell; nil where none of the classes asks for that
	edge     int               // how many of them, from the first on, are in the view
	view     view              // what those of them that may be drawn can do
	warm     *pool             // those
	cold     *pool             // and those that are not warm yet
	sums     sums              // over all servers
	changes  int               // of the sums, since they were last added up anew
	mean     float64           // capacity for a unit of size, of those whose capacity is known
	doubt    bool              // so many are ejected that it counts for nothing
	ill      []*server         // ejected, the earliest first
	active   []*server         // with attempts in flight, and some that had them lately
	fresh    []*server         // whose estimates still count
	next     int               // of them, to fade
	young    []*server         // not warm yet
	round    uint64            // the number of the present list
	drawn    [draws]*server    // for the request at hand
	home     *server           // the one of them that is home to its key
	race     *race
	over     []*request                     // to be used again
	ok       [2][]*weighted.Member[*server] // room for lists, as are those that follow
	few      []*server
	added    []*server
	gone     []*server
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
	lateAt   time.Duration // when its last sample came
	sent     float64       // own sends of the last shareTime horizons
	span     float64       // and the seconds that they took
	served   float64       // answers in that time
	usually  float64       // the most of them a second, of late
	warmth   float64       // requests that may go to cold servers now
	warmed   time.Duration // when that was so
	asked    []float64     // requests lately, a tenant each
	askedAll float64
	reports  bool    // some server has reported its load
	mute     bool    // some answer brought no report before that
	busy     float64 // use of the servers, as they report it
	waiting  float64 // mean time over aim of what is in flight
	drop     float64 // share of requests that is refused on the word of the list
	shed     float64 // share of requests of mean worth that is refused
	worth    float64 // mean worth of a request lately
}

// server is all that is known of one server.
type server struct {
	weighted.Member[*server]            // its share is the capacity when warm, less its failures, more in the own zone
	pool                     *pool      // the one that it is drawn from, if any
	inFlight                 []*attempt // own, oldest first
	Server
	took     float64       // own mean time to an answer in seconds, kept while no server reports
	rate     float64       // capacity in requests a second; 0 without an estimate
	trust    float64       // in the estimate: 1 after a report, less with time
	faded    time.Duration // when the trust was so
	done     float64       // reported requests a second, smoothed
	util     float64       // reported use, smoothed
	busy     float64       // and as last reported
	reported time.Duration // the latest report
	heard    time.Duration // the latest sign of life or, if later, the first send that waits for one
	asked    time.Duration // since when it owes answers all the time
	failing  float64       // share of failures among the latest outcomes
	until    time.Duration // ejected to then; 0 when not
	trial    bool          // one trial is under way
	vain     int           // trials in a row that were in vain
	rank     uint64        // of the balancer's own order of the servers
	round    uint64        // of the latest list that named it
	sums     sums          // its part in those of the balancer

	listed   bool // in the list
	celled   bool // in the lists by cell
	seen     bool // in the view
	part     view // its part in what the view can do
	isActive bool // in the list of that name, as are the others
	isFresh  bool
	isYoung  bool
}

type request struct {
	Request
	class    *Class
	attempts []*attempt
	out      int // attempts in flight
	closed   bool
	token    uint64 // of the timer for its deadline
	first    attempt
	before   attempt // of an earlier request for the same key, where there is one that may have run
}

type attempt struct {
	req      *request
	srv      *server
	zone     int // the server's when it was sent: a list may change them
	cell     int
	sent     time.Duration
	out      bool
	neverRan bool
	writing  bool // its request still comes: the server owes nothing yet
}

// sums are kept over all servers of the list.
type sums struct {
	known   weighted.Linear // of estimates by the trust in them; by size that trust alone
	whole   weighted.Linear // capacity of those that are ready when warm
	total   weighted.Linear // and at present
	well    weighted.Linear // and of those that are not ejected
	told    weighted.Linear // capacity of those that have reported and are not ejected
	use     weighted.Linear // times the use that they report
	tellers float64         // how many those are
}

func (t *sums) add(u *sums, sign float64) {
	t.known.AddScaled(u.known, sign)
	t.whole.AddScaled(u.whole, sign)
	t.total.AddScaled(u.total, sign)
	t.well.AddScaled(u.well, sign)
	t.told.AddScaled(u.told, sign)
	t.use.AddScaled(u.use, sign)
	t.tellers += sign * u.tellers
}
