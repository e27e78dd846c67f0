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

	"appleledge/internal/harness/admissionvariants"
	"appleledge/internal/settings"
)

// Script is a day to rehearse: a fleet, its clients, what goes wrong, and what must hold.
type Script struct {
	Duration   Span         `toml:"length"`
	Fleet      FleetSize    `toml:"fleet"`
	Clients    ClientLoad   `toml:"clients"`
	Agents     AgentOptions `toml:"agents"`
	Events     []Event      `toml:"event"`
	Assertions []Assertion  `toml:"assert"`
}

// FleetSize is the size of an installation.
type FleetSize struct {
	Servers int `toml:"servers"`
	Agents  int `toml:"agents"`
}

// ClientLoad is what clients send.
type ClientLoad struct {
	Rate            float64 `toml:"rate"`  // requests a second, of all
	Retry           bool    `toml:"retry"` // a refused request is tried again
	MaxAttempts     int     `toml:"tries"` // so often in all, at the most
	HonorRetryAfter bool    `toml:"heed"`  // after the time that the refusal names; else after a wait of their own
	MarkRetries     bool    `toml:"mark"`  // tries after the first say so (X-Retried)
	Backoff         Span    `toml:"wait"`  // that wait, drawn each time
	DistinctForms   int     `toml:"forms"` // distinct ones; a few are far more popular than the rest
}

// AgentOptions is what the agents' own settings switch on.
type AgentOptions struct {
	CoalescedClasses []string `toml:"join"`     // classes of which like requests are answered together
	Gossip           bool     `toml:"peers"`    // they know each other, and tell what makes others more careful
	Recovery         bool     `toml:"recovery"` // they keep what they know over a power loss, and come back by it
	Admission        string   `toml:"door"`     // who says which requests are let in: "storm", "fleet" (all agents together), or in simulated time a rival
}

// Event is something that happens. Which of its figures count depends on what it does (see verbs).
type Event struct {
	Type        string   `toml:"do"`
	At          Span     `toml:"at"`
	Duration    Span     `toml:"for"`
	Period      Span     `toml:"over"`
	Servers     []string `toml:"servers"` // by name; else
	MachineKind string   `toml:"kind"`    // of that kind; else
	ServerShare float64  `toml:"share"`   // so much of the fleet, drawn
	BatchShare  float64  `toml:"batch"`   // share of the fleet at a time
	Factor      float64  `toml:"to"`      // what is left, or what it becomes
	Repeat      int      `toml:"repeat"`  // so often in all
	Interval    Span     `toml:"every"`   // after that time again
	Agent       int      `toml:"agent"`   // its number, from 1; or
	AgentShare  float64  `toml:"agents"`  // so much of all agents, drawn
	ListDelay   Span     `toml:"list"`    // how much later the server list is back
	Stagger     Span     `toml:"apart"`   // how much later than the first each part is back, drawn one by one
}

// Assertion is what must hold: a least service, a recovery, or the most that a server holds. The four rules always must.
type Assertion struct {
	MinService float64 `toml:"service"` // the least service figure
	From       Span    `toml:"from"`    // of what arrived from then
	Until      Span    `toml:"until"`   // to then; the whole day where both are left out

	After  string `toml:"after"`  // or from the end of each event that does so
	Within Span   `toml:"within"` // and so much later, over the ten seconds that follow

	MaxOccupancy float64 `toml:"holds"` // the most that a server may hold, as a share of its slots and waiting room
}

// check says what is wrong with an assertion.
func (a Assertion) check(s Script) error {
	switch {
	case (a.MinService != 0) == (a.MaxOccupancy != 0):
		return errors.New("an assertion names one of service and holds")
	case a.MaxOccupancy < 0 || a.MaxOccupancy > 1:
		return errors.New("holds: a share above 0 and at most 1")
	case a.MaxOccupancy > 0:
		return nil
	case a.MinService < 0 || a.MinService > 1:
		return errors.New("service: the least figure is above 0 and at most 1")
	case a.Until.From != 0 && a.Until.From <= a.From.From:
		return errors.New("until: must be later than from")
	case a.After == "" && a.Within.To > 0:
		return errors.New("within: counts from the end of an event, which after names")
	case a.After != "" && (a.From.To > 0 || a.Until.To > 0):
		return errors.New("after: stands in place of from and until")
	case a.After != "" && !slices.ContainsFunc(s.Events, func(e Event) bool { return e.Type == a.After }):
		return fmt.Errorf("after: the script has no event that does %q", a.After)
	}
	return nil
}

// Span is a time, or a range of times from which one is drawn: "4s" or "4s..6s".
type Span struct{ From, To time.Duration }

// UnmarshalText reads a span.
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

func (s Span) draw(random *rand.Rand) time.Duration {
	return s.From + time.Duration(random.Float64()*float64(s.To-s.From))
}

// verb says which figures an event needs.
type eventType struct {
	selectsServers, needsDuration, needsFactor, needsPeriod, needsBatchShare, selectsAgent bool
	selectsByShare                                                                         bool // servers, agents or both, by share
	description                                                                            string
}

// loads reports whether the verb is about what clients send: `to` is a multiple then, else a share.
func (v eventType) changesLoad() bool { return v.needsFactor && !v.selectsServers }

// verbs are all that a script can make happen.
var eventTypes = map[string]eventType{
	"hang":           {selectsServers: true, needsDuration: true, description: "accepts requests and answers none"},
	"pause":          {selectsServers: true, needsDuration: true, description: "stops, and goes on where it was"},
	"throttle":       {selectsServers: true, needsDuration: true, needsFactor: true, description: "has the share `to` of its capacity"},
	"fast_errors":    {selectsServers: true, needsDuration: true, needsFactor: true, description: "answers the share `to` with an error, having run"},
	"reset":          {selectsServers: true, needsDuration: true, needsFactor: true, description: "breaks the connection for the share `to`, having run"},
	"spoil":          {selectsServers: true, needsDuration: true, needsFactor: true, description: "answers the share `to` with what can't be read, having run"},
	"partition":      {selectsServers: true, needsDuration: true, description: "can't be reached, and says nothing"},
	"kill":           {selectsServers: true, description: "ends, and is taken from the list"},
	"restart":        {selectsServers: true, description: "ends and starts anew, cold, under its name"},
	"rolling_deploy": {selectsServers: true, needsPeriod: true, needsBatchShare: true, description: "is replaced by a cold successor, batch by batch"},
	"list_outage":    {needsDuration: true, description: "the server list is out of reach"},
	"list_lag":       {needsDuration: true, needsPeriod: true, description: "changes of the list come `over` late"},
	"load":           {needsDuration: true, needsFactor: true, description: "clients send `to` times as much"},
	"ramp":           {needsDuration: true, needsFactor: true, needsPeriod: true, description: "the load rises evenly to `to` times the usual over that time, and stays"},
	"wave":           {needsDuration: true, needsFactor: true, needsPeriod: true, description: "the load swings between the usual and `to` times, `over` from crest to crest"},
	"agent_sigterm":  {selectsAgent: true, description: "an agent drains, ends and starts anew, as at a planned restart"},
	"power_loss":     {selectsByShare: true, needsDuration: true, description: "servers (share), agents (agents) or both lose power, and with it what was not kept"},
	"agent_kill":     {selectsAgent: true, description: "an agent ends and starts anew, with what it knew lost"},
}

const (
	maxServers        = 2000
	maxAgents         = 500
	maxEvents         = 1000
	maxDuration       = time.Hour
	maxRate           = 100000
	maxForms          = 1 << 20
	maxClientAttempts = 20
	idempotentClass   = "form-check" // the one that may be repeated at will
)

// wait is how long a client waits of its own before it tries again. One time is no draw, so that such a day's other draws
// are the same whoever tries again.
func (l ClientLoad) drawBackoff(random *rand.Rand) time.Duration {
	if l.Backoff.From == l.Backoff.To {
		return l.Backoff.From
	}
	return l.Backoff.draw(random)
}

// again reports whether a request that was refused is tried again, after so many tries.
func (l ClientLoad) allowsRetry(tries int) bool { return l.Retry && tries < l.MaxAttempts }

func (a AgentOptions) check() bool {
	return !slices.ContainsFunc(a.CoalescedClasses, func(name string) bool { return name != idempotentClass })
}

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

func (e Event) check(s Script) error {
	v, known := eventTypes[e.Type]
	if !known {
		return fmt.Errorf("do: %q is no event; there are %s", e.Type, strings.Join(eventTypeNames(), ", "))
	}
	chosen := 0
	for _, is := range []bool{len(e.Servers) > 0, e.MachineKind != "", e.ServerShare > 0} {
		if is {
			chosen++
		}
	}
	switch {
	case e.At.From >= s.Duration.To:
		return fmt.Errorf("at: %v is after the day's end", e.At.From)
	case v.selectsByShare && (len(e.Servers) > 0 || e.MachineKind != "" || e.ServerShare == 0 && e.AgentShare == 0):
		return fmt.Errorf("%s: say how much of the servers by share, of the agents by agents, or both", e.Type)
	case !v.selectsByShare && (e.ListDelay.To > 0 || e.Stagger.To > 0):
		return fmt.Errorf("list, apart: %s has none", e.Type)
	case v.selectsServers && chosen != 1:
		return fmt.Errorf("%s: say which by one of servers, kind and share", e.Type)
	case !v.selectsServers && !v.selectsByShare && chosen != 0:
		return fmt.Errorf("%s: concerns no servers", e.Type)
	case e.ServerShare < 0 || e.ServerShare > 1:
		return errors.New("share: from 0 to 1")
	case e.MachineKind != "" && !isMachineKind(e.MachineKind):
		return fmt.Errorf("kind: %q is none of twin-core and quad-core", e.MachineKind)
	case v.needsDuration != (e.Duration.To > 0):
		return fmt.Errorf("for: %s", requirement(v.needsDuration, e.Type))
	case v.needsPeriod != (e.Period.To > 0):
		return fmt.Errorf("over: %s", requirement(v.needsPeriod, e.Type))
	case v.needsBatchShare != (e.BatchShare > 0) || e.BatchShare > 1:
		return fmt.Errorf("batch: %s, from 0 to 1", requirement(v.needsBatchShare, e.Type))
	case v.needsFactor != (e.Factor > 0):
		return fmt.Errorf("to: %s", requirement(v.needsFactor, e.Type))
	case v.needsFactor && !v.changesLoad() && e.Factor > 1:
		return errors.New("to: a share, at most 1")
	case !v.selectsByShare && v.selectsAgent != (e.Agent > 0 || e.AgentShare > 0) || e.Agent > s.Fleet.Agents:
		return fmt.Errorf("agent: %s, or agents, a share; there are %d", requirement(v.selectsAgent, e.Type), s.Fleet.Agents)
	case e.AgentShare < 0 || e.AgentShare > 1 || e.Agent > 0 && e.AgentShare > 0:
		return errors.New("agents: a share from 0 to 1, in place of agent")
	case e.Repeat > 1 && e.Interval.From <= 0:
		return errors.New("every: what is repeated needs the time after which")
	case e.Repeat < 0 || e.Repeat > maxEvents:
		return fmt.Errorf("repeat: from 0 to %d", maxEvents)
	}
	return nil
}

func requirement(it bool, do string) string {
	if it {
		return do + " needs it"
	}
	return do + " has none"
}

func isMachineKind(name string) bool {
	for _, k := range machineKinds {
		if k.name == name {
			return true
		}
	}
	return false
}

func eventTypeNames() []string { return slices.Sorted(maps.Keys(eventTypes)) }
