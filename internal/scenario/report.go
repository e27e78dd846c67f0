package scenario

import (
	"fmt"
	"time"
)

// Report is the outcome of one scenario run. The JSON names are the file format of reports, and don't follow the Go names.
type Report struct {
	Service           ServiceScore   `json:"Service"`
	Classes           []ClassReport  `json:"Classes"`
	Seconds           []SecondReport `json:"Seconds"` // by the second in which a request arrived
	Events            []EventReport  `json:"Happens"`
	Violations        []string       `json:"Broken"`  // the first violations of the four rules, at most maxViolationsListed
	ViolationCount    int            `json:"Breaks"`  // number of all violations
	FailedAssertions  []string       `json:"Failing"` // assertions of the script that failed
	Notes             []string       `json:"Notes"`
	Servers           []ServerReport `json:"Servers"`
	ClientRetries     int            `json:"Retries"`
	OverloadsDetected int            `json:"Storms"` // overloads that agents detected; counted in simulated time only
	Duration          time.Duration  `json:"Length"`

	AgentStarts []time.Duration `json:"-"` // from each later start of an agent until it was ready; on sockets alone
}

// ServiceScore is the service figure and its parts, each from 0 to 1 and weighted by the priority of the requests.
type ServiceScore struct {
	Whole      float64       `json:"Whole"`
	Worst10    float64       `json:"Worst10"`    // of the worst ten consecutive seconds
	WorstClass float64       `json:"WorstClass"` // of the worst class of requests
	WorstPoint float64       `json:"WorstPoint"` // of the worst refund point
	Figure     float64       `json:"Figure"`     // the weighted sum of the four
	WorstFrom  time.Duration `json:"WorstFrom"`  // start of the worst ten seconds
}

// ClassReport counts the requests of a class by their result.
type ClassReport struct {
	Name       string `json:"Name"`
	Offered    int    `json:"Offered"`
	InTime     int    `json:"InAim"` // served within the latency objective
	Late       int    `json:"Late"`  // served after it
	Rejected   int    `json:"Refused"`
	Failed     int    `json:"Failed"`
	Unanswered int    `json:"Lost"` // no answer before the deadline
}

// SecondReport counts the requests that arrived in one second by their result.
type SecondReport struct {
	Offered    int `json:"Offered"`
	InTime     int `json:"InAim"`
	Late       int `json:"Late"`
	Rejected   int `json:"Refused"`
	Failed     int `json:"Failed"`
	Unanswered int `json:"Lost"`

	offeredPriority, earnedPriority float64 // sums of the priorities: of all requests, and of those served within the latency objective
}

// EventReport is an event of the script at the time at which it took place.
type EventReport struct {
	At       time.Duration `json:"At"`
	Duration time.Duration `json:"For"` // 0: the event has no duration
	Type     string        `json:"Do"`
}

// ServerReport is what one server did in a run.
type ServerReport struct {
	Name      string `json:"Name"`
	Kind      string `json:"Kind"`
	Arrived   int    `json:"Arrived"` // requests that reached it
	Served    int    `json:"Served"`  // counted in simulated time only
	Peak      int    `json:"Peak"`    // most requests that it held at a time
	Capacity  int    `json:"Room"`    // slots and queue
	InFlight  []int  `json:"Held"`    // requests in it, sampled once a second
	Collapsed bool   `json:"Toppled"`
}

// maxViolationsListed is how many violations a report lists one by one.
const maxViolationsListed = 20

// addEvent records that an event took place.
func (d *Report) addEvent(at time.Duration, do string, lasts time.Duration) {
	d.Events = append(d.Events, EventReport{at, lasts, do})
}

// addViolation counts a violation of a rule, and lists it if there are few yet.
func (d *Report) addViolation(now time.Duration, rule, format string, args ...any) {
	d.ViolationCount++
	if len(d.Violations) < maxViolationsListed {
		d.Violations = append(d.Violations, fmt.Sprintf("rule %s at %v: ", rule, now-startTime-settleTime)+fmt.Sprintf(format, args...))
	}
}

// attemptsArrived returns how many attempts reached the servers.
func (d *Report) attemptsArrived() (n int) {
	for _, s := range d.Servers {
		n += s.Arrived
	}
	return n
}

// Passed reports whether all rules and assertions held.
func (d Report) Passed() bool { return d.ViolationCount == 0 && len(d.FailedAssertions) == 0 }
