package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"appleledge/internal/balancer"
	"appleledge/internal/harness/admissionvariants"
	"appleledge/internal/settings"
)

// Script is a scenario: a fleet, its clients, the events, and the assertions on the result.
type Script struct {
	Duration   Span         `toml:"length"`
	Fleet      FleetSize    `toml:"fleet"`
	Clients    ClientLoad   `toml:"clients"`
	Agents     AgentOptions `toml:"agents"`
	Events     []Event      `toml:"event"`
	Assertions []Assertion  `toml:"assert"`
}

// FleetSize is the number of servers and agents, and the kind of the servers.
type FleetSize struct {
	Servers int `toml:"servers"`
	Agents  int `toml:"agents"`
	// RejectsAbandoned: servers don't run a request whose sender has given it up before they take it.
	RejectsAbandoned bool `toml:"rejects_abandoned"`
	// OmitsContinue: servers send no 100 (Continue) to a request that expects one.
	OmitsContinue bool `toml:"omits_continue"`
	DedupWindow   Span `toml:"window"` // for which a pod drops repeats, a single time; 0: defaultWindow
	// DedupScope says which servers share a memory of idempotency keys: those of a pod ("pod", also where it is empty), or
	// all ("fleet").
	DedupScope string `toml:"scope"`
}

// The values of FleetSize.DedupScope.
const (
	podDedupScope   = "pod"   // pods of podSize servers
	fleetDedupScope = "fleet" // all servers, as one pod
)

// dedupWindow returns for how long a pod drops repeats.
func (f FleetSize) dedupWindow() time.Duration {
	if f.DedupWindow.To == 0 {
		return defaultWindow
	}
	return f.DedupWindow.To
}

// podOf returns the pod of the server with that number.
func (f FleetSize) podOf(number int) int {
	if f.DedupScope == fleetDedupScope {
		return 0
	}
	return number / podSize
}

// balancerScope returns the scope as balancers know it.
func (f FleetSize) balancerScope() balancer.DedupScope {
	if f.DedupScope == fleetDedupScope {
		return balancer.DedupFleet
	}
	return balancer.DedupCell
}

// platformGroup returns the scope as the platform's file names it.
func (f FleetSize) platformGroup() string {
	if f.DedupScope == fleetDedupScope {
		return "all"
	}
	return "cell"
}

// ClientLoad is the traffic of the clients.
type ClientLoad struct {
	Rate            float64 `toml:"rate"`  // requests a second, of all
	Retry           bool    `toml:"retry"` // rejected requests are retried
	MaxAttempts     int     `toml:"tries"` // including the first
	HonorRetryAfter bool    `toml:"heed"`  // retry after Retry-After; else after the client's own backoff
	MarkRetries     bool    `toml:"mark"`  // retries carry X-Retried
	Backoff         Span    `toml:"wait"`  // the client's own, drawn for each retry
	DistinctForms   int     `toml:"forms"` // number of distinct route keys
	IdleConns       int     `toml:"idle"`  // on sockets: connections to each agent that say nothing
	RestingConns    int     `toml:"rest"`  // on sockets: connections to each agent whose clients rest between requests until about when the agent ends them
}

// AgentOptions is the optional features of the agents.
type AgentOptions struct {
	CoalescedClasses []string `toml:"join"`           // classes whose equal requests are coalesced
	Gossip           bool     `toml:"peers"`          // agents exchange gossip
	Recovery         bool     `toml:"recovery"`       // agents store a baseline and recover from it after a power loss
	ConfirmedRepeats bool     `toml:"confirmed_only"` // repeats by key are made only of what an answer shows to be read
	// AllowUnconfirmedRepeats: repeats by key go also to servers that send no 100 (Continue).
	AllowUnconfirmedRepeats bool   `toml:"allow_unconfirmed"`
	Admission               string `toml:"door"` // admission control: "storm", "fleet" (all agents together), or in simulated time one of admissionvariants
	KilledEarly             bool   `toml:"kill"` // on sockets: at a planned restart clients use open connections until the process is killed, as early as the platform may
}

// Event is one event of a script. Its type says which of the other fields apply; see eventTypes.
type Event struct {
	Type        string   `toml:"do"`
	At          Span     `toml:"at"`
	Duration    Span     `toml:"for"`
	Period      Span     `toml:"over"`
	Servers     []string `toml:"servers"` // by name; or
	MachineKind string   `toml:"kind"`    // of a type of machine; or
	ServerShare float64  `toml:"share"`   // a share of the fleet, drawn
	BatchShare  float64  `toml:"batch"`   // share of the fleet replaced at a time
	Factor      float64  `toml:"to"`      // capacity left, share of answers, or multiple of the load
	Repeat      int      `toml:"repeat"`  // number of times; 0 and 1: once
	Interval    Span     `toml:"every"`   // between two times
	Agent       int      `toml:"agent"`   // its number, from 1; or
	AgentShare  float64  `toml:"agents"`  // a share of them, drawn
	ListDelay   Span     `toml:"list"`    // by which the endpoint list is back later
	Stagger     Span     `toml:"apart"`   // by which each part is back later, drawn for each
}

// Assertion is what a run must reach: a least service, a recovery, or the most that a server may hold. The four rules are always
// checked.
type Assertion struct {
	MinService float64 `toml:"service"` // the least service figure
	From       Span    `toml:"from"`    // of what arrived from then
	Until      Span    `toml:"until"`   // to then; the whole day where both are left out

	After  string `toml:"after"`  // or from the end of each event of this type
	Within Span   `toml:"within"` // and so much later, over the ten seconds that follow

	MaxOccupancy float64 `toml:"holds"` // the most that a server may hold, as a share of its slots and waiting room
}

// Span is a time, or a range of times that one is drawn from: "4s" or "4s..6s".
type Span struct{ From, To time.Duration }

// UnmarshalText parses a span. Its error is a settings.BadValueError.
func (s *Span) UnmarshalText(text []byte) error {
	from, to, isRange := strings.Cut(string(text), "..")
	var err error
	if s.From, err = time.ParseDuration(from); err == nil {
		if s.To = s.From; isRange {
			s.To, err = time.ParseDuration(to)
		}
	}
	if err != nil || s.From < 0 || s.To < s.From {
		return settings.BadValueError{Text: string(text), Problem: "is no time; write \"4s\", or \"4s..6s\" for one that is drawn"}
	}
	return nil
}

// draw draws a time from the span. It takes one random number, also where the span is a single time.
func (s Span) draw(random *rand.Rand) time.Duration {
	return s.From + time.Duration(random.Float64()*float64(s.To-s.From))
}

// eventType says which settings an event of the type needs.
type eventType struct {
	selectsServers, needsDuration, needsFactor, needsPeriod, needsBatchShare, selectsAgent bool
	selectsByShare                                                                         bool // servers, agents or both, by share
	description                                                                            string
}

// changesLoad reports whether the factor is a multiple of the clients' load; else it is a share from 0 to 1.
func (v eventType) changesLoad() bool { return v.needsFactor && !v.selectsServers }

// eventTypes are the types by their names in scripts.
var eventTypes = map[string]eventType{
	"hang":           {selectsServers: true, needsDuration: true, description: "accepts requests and answers none"},
	"pause":          {selectsServers: true, needsDuration: true, description: "stops, and goes on where it was"},
	"throttle":       {selectsServers: true, needsDuration: true, needsFactor: true, description: "has the share `to` of its capacity"},
	"fast_errors":    {selectsServers: true, needsDuration: true, needsFactor: true, description: "answers the share `to` with an error, having run"},
	"reset":          {selectsServers: true, needsDuration: true, needsFactor: true, description: "breaks the connection for the share `to`, having run"},
	"spoil":          {selectsServers: true, needsDuration: true, needsFactor: true, description: "answers the share `to` with what can't be read, having run"},
	"read_stall":     {selectsServers: true, needsDuration: true, description: "reads nothing, and at the end takes all that was written meanwhile"},
	"partition":      {selectsServers: true, needsDuration: true, description: "can't be reached, and says nothing"},
	"kill":           {selectsServers: true, description: "ends, and is taken from the list"},
	"restart":        {selectsServers: true, description: "ends and starts anew, cold, under its name"},
	"rolling_deploy": {selectsServers: true, needsPeriod: true, needsBatchShare: true, description: "is replaced by a cold successor, batch by batch"},
	"list_outage":    {needsDuration: true, description: "the server list is out of reach"},
	"list_silence":   {needsDuration: true, description: "the source of the server list takes calls and answers none, then works through them in turn"},
	"list_lag":       {needsDuration: true, needsPeriod: true, description: "changes of the list come `over` late"},
	"load":           {needsDuration: true, needsFactor: true, description: "clients send `to` times as much"},
	"ramp":           {needsDuration: true, needsFactor: true, needsPeriod: true, description: "the load rises evenly to `to` times the usual over that time, and stays"},
	"wave":           {needsDuration: true, needsFactor: true, needsPeriod: true, description: "the load swings between the usual and `to` times, `over` from crest to crest"},
	"agent_sigterm":  {selectsAgent: true, description: "an agent drains, ends and starts anew, as at a planned restart"},
	"power_loss":     {selectsByShare: true, needsDuration: true, description: "servers (share), agents (agents) or both lose power, and with it what was not kept"},
	"agent_kill":     {selectsAgent: true, description: "an agent ends and starts anew, with what it knew lost"},
	"agent_pause":    {selectsAgent: true, needsDuration: true, description: "an agent's process stands still and goes on; on sockets alone"},
	"agent_reload":   {selectsAgent: true, description: "an agent reads its configuration again; on sockets alone"},
}

const (
	maxServers        = 2000
	maxAgents         = 500
	maxEvents         = 1000
	maxDuration       = time.Hour
	maxRate           = 100000
	maxForms          = 1 << 20
	maxClientAttempts = 20
	idempotentClass   = "form-check" // requests may be sent again at any time
)

// drawBackoff returns the client's own backoff. A single time takes no random number, so that the draws that follow don't depend
// on who retries.
func (l ClientLoad) drawBackoff(random *rand.Rand) time.Duration {
	if l.Backoff.From == l.Backoff.To {
		return l.Backoff.From
	}
	return l.Backoff.draw(random)
}

// allowsRetry reports whether a rejected request is sent again after so many attempts.
func (l ClientLoad) allowsRetry(tries int) bool { return l.Retry && tries < l.MaxAttempts }

// LoadScript reads and checks a script. Errors name the file and the line.
func LoadScript(path string) (Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Script{}, fmt.Errorf("reading the script: %w", err)
	}
	return ParseScript(path, text)
}

// ParseScript reads and checks a script's text; name stands for the file in errors.
func ParseScript(name string, text []byte) (Script, error) {
	s := Script{Duration: Span{time.Minute, time.Minute}, Fleet: FleetSize{Servers: 12, Agents: 4}, Clients: ClientLoad{Rate: 380, Retry: true, MaxAttempts: 2, MarkRetries: true, Backoff: Span{clientRetryDelay, clientRetryDelay}, DistinctForms: distinctForms}}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&s); err != nil {
		return Script{}, settings.LocateError(name, text, err)
	}
	lines := settings.TableLines(text)
	if table, number, err := s.check(); err != nil {
		at := 1
		if all := lines[table]; number < len(all) {
			at = all[number]
		}
		return Script{}, fmt.Errorf("%s:%d: %w", name, at, err)
	}
	return s, nil
}

// check returns the table in which something is wrong, which of those of its name it is, and what is wrong.
func (s Script) check() (table string, number int, err error) {
	switch {
	case s.Duration.From < time.Second || s.Duration.To > maxDuration:
		return "", 0, fmt.Errorf("length: a day lasts from 1s to %v", maxDuration)
	case s.Fleet.Servers < 1 || s.Fleet.Servers > maxServers:
		return "fleet", 0, fmt.Errorf("servers: %d must be from 1 to %d", s.Fleet.Servers, maxServers)
	case s.Fleet.Agents < 1 || s.Fleet.Agents > maxAgents:
		return "fleet", 0, fmt.Errorf("agents: %d must be from 1 to %d", s.Fleet.Agents, maxAgents)
	case s.Fleet.DedupWindow.From != s.Fleet.DedupWindow.To || s.Fleet.DedupWindow.From < 0:
		return "fleet", 0, errors.New("window: must be one time above 0")
	case !slices.Contains([]string{"", podDedupScope, fleetDedupScope}, s.Fleet.DedupScope):
		return "fleet", 0, fmt.Errorf("scope: %q is none; there are %s, %s", s.Fleet.DedupScope, podDedupScope, fleetDedupScope)
	case s.Clients.Rate <= 0 || s.Clients.Rate > maxRate:
		return "clients", 0, fmt.Errorf("rate: %v must be above 0 and at most %d", s.Clients.Rate, maxRate)
	case s.Clients.MaxAttempts < 1 || s.Clients.MaxAttempts > maxClientAttempts:
		return "clients", 0, fmt.Errorf("tries: %d must be from 1 to %d", s.Clients.MaxAttempts, maxClientAttempts)
	case s.Clients.Backoff.From <= 0:
		return "clients", 0, errors.New("wait: must be above 0")
	case s.Clients.DistinctForms < 2 || s.Clients.DistinctForms > maxForms:
		return "clients", 0, fmt.Errorf("forms: %d must be from 2 to %d", s.Clients.DistinctForms, maxForms)
	case s.Agents.Admission != "" && s.Agents.Admission != fleetAdmission && s.Agents.Admission != omniscientAdmission && !slices.Contains(admissionvariants.Names(), s.Agents.Admission):
		return "agents", 0, fmt.Errorf("door: %q is none; there are %s, %s", s.Agents.Admission, fleetAdmission, strings.Join(admissionvariants.Names(), ", "))
	case s.Agents.ConfirmedRepeats && s.Agents.AllowUnconfirmedRepeats:
		return "agents", 0, errors.New("confirmed_only, allow_unconfirmed: at most one of them")
	case !s.Agents.check():
		return "agents", 0, fmt.Errorf("join: %q names what is no class, or one that must not run twice; there is %q", s.Agents.CoalescedClasses, idempotentClass)
	case len(s.Events) > maxEvents:
		return "event", maxEvents, fmt.Errorf("at most %d events", maxEvents)
	}
	for i, e := range s.Events {
		if err := e.check(s); err != nil {
			return "event", i, err
		}
	}
	for i, a := range s.Assertions {
		if err := a.check(s); err != nil {
			return "assert", i, err
		}
	}
	return "", 0, nil
}

// eventTypeNames returns the names of all event types, sorted.
func eventTypeNames() []string { return slices.Sorted(maps.Keys(eventTypes)) }
