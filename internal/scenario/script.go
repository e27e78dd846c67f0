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
	Length  Span     `toml:"length"`
	Fleet   FleetOf  `toml:"fleet"`
	Clients Load     `toml:"clients"`
	Agents  Agents   `toml:"agents"`
	Events  []Event  `toml:"event"`
	Asserts []Assert `toml:"assert"`
}

// FleetOf is the size of an installation.
type FleetOf struct {
	Servers int `toml:"servers"`
	Agents  int `toml:"agents"`
}

// Load is what clients send.
type Load struct {
	Rate  float64 `toml:"rate"`  // requests a second, of all
	Retry bool    `toml:"retry"` // a refused request is tried again
	Tries int     `toml:"tries"` // so often in all, at the most
	Heed  bool    `toml:"heed"`  // after the time that the refusal names; else after a wait of their own
	Mark  bool    `toml:"mark"`  // tries after the first say so (X-Retried)
	Wait  Span    `toml:"wait"`  // that wait, drawn each time
	Forms int     `toml:"forms"` // distinct ones; a few are far more popular than the rest
}

// Agents is what the agents' own settings switch on.
type Agents struct {
	Join     []string `toml:"join"`     // classes of which like requests are answered together
	Peers    bool     `toml:"peers"`    // they know each other, and tell what makes others more careful
	Recovery bool     `toml:"recovery"` // they keep what they know over a power loss, and come back by it
	Door     string   `toml:"door"`     // who says which requests are let in: "storm", "fleet" (all agents together), or in simulated time a rival
}

// Event is something that happens. Which of its figures count depends on what it does (see verbs).
type Event struct {
	Do      string   `toml:"do"`
	At      Span     `toml:"at"`
	For     Span     `toml:"for"`
	Over    Span     `toml:"over"`
	Servers []string `toml:"servers"` // by name; else
	Kind    string   `toml:"kind"`    // of that kind; else
	Share   float64  `toml:"share"`   // so much of the fleet, drawn
	Batch   float64  `toml:"batch"`   // share of the fleet at a time
	To      float64  `toml:"to"`      // what is left, or what it becomes
	Repeat  int      `toml:"repeat"`  // so often in all
	Every   Span     `toml:"every"`   // after that time again
	Agent   int      `toml:"agent"`   // its number, from 1; or
	Agents  float64  `toml:"agents"`  // so much of all agents, drawn
	List    Span     `toml:"list"`    // how much later the server list is back
	Apart   Span     `toml:"apart"`   // how much later than the first each part is back, drawn one by one
}

// Assert is what must hold: a least service, a recovery, or the most that a server holds. The four rules always must.
type Assert struct {
	Service float64 `toml:"service"` // the least service figure
	From    Span    `toml:"from"`    // of what arrived from then
	Until   Span    `toml:"until"`   // to then; the whole day where both are left out

	After  string `toml:"after"`  // or from the end of each event that does so
	Within Span   `toml:"within"` // and so much later, over the ten seconds that follow

	Holds float64 `toml:"holds"` // the most that a server may hold, as a share of its slots and waiting room
}

// check says what is wrong with an assertion.
func (a Assert) check(s Script) error {
	switch {
	case (a.Service != 0) == (a.Holds != 0):
		return errors.New("an assertion names one of service and holds")
	case a.Holds < 0 || a.Holds > 1:
		return errors.New("holds: a share above 0 and at most 1")
	case a.Holds > 0:
		return nil
	case a.Service < 0 || a.Service > 1:
		return errors.New("service: the least figure is above 0 and at most 1")
	case a.Until.From != 0 && a.Until.From <= a.From.From:
		return errors.New("until: must be later than from")
	case a.After == "" && a.Within.To > 0:
		return errors.New("within: counts from the end of an event, which after names")
	case a.After != "" && (a.From.To > 0 || a.Until.To > 0):
		return errors.New("after: stands in place of from and until")
	case a.After != "" && !slices.ContainsFunc(s.Events, func(e Event) bool { return e.Do == a.After }):
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
type verb struct {
	servers, lasting, to, over, batch, agent bool
	power                                    bool // servers, agents or both, by share
	means                                    string
}

// loads reports whether the verb is about what clients send: `to` is a multiple then, else a share.
func (v verb) loads() bool { return v.to && !v.servers }

// verbs are all that a script can make happen.
var verbs = map[string]verb{
	"hang":           {servers: true, lasting: true, means: "accepts requests and answers none"},
	"pause":          {servers: true, lasting: true, means: "stops, and goes on where it was"},
	"throttle":       {servers: true, lasting: true, to: true, means: "has the share `to` of its capacity"},
	"fast_errors":    {servers: true, lasting: true, to: true, means: "answers the share `to` with an error, having run"},
	"reset":          {servers: true, lasting: true, to: true, means: "breaks the connection for the share `to`, having run"},
	"spoil":          {servers: true, lasting: true, to: true, means: "answers the share `to` with what can't be read, having run"},
	"partition":      {servers: true, lasting: true, means: "can't be reached, and says nothing"},
	"kill":           {servers: true, means: "ends, and is taken from the list"},
	"restart":        {servers: true, means: "ends and starts anew, cold, under its name"},
	"rolling_deploy": {servers: true, over: true, batch: true, means: "is replaced by a cold successor, batch by batch"},
	"list_outage":    {lasting: true, means: "the server list is out of reach"},
	"list_lag":       {lasting: true, over: true, means: "changes of the list come `over` late"},
	"load":           {lasting: true, to: true, means: "clients send `to` times as much"},
	"ramp":           {lasting: true, to: true, over: true, means: "the load rises evenly to `to` times the usual over that time, and stays"},
	"wave":           {lasting: true, to: true, over: true, means: "the load swings between the usual and `to` times, `over` from crest to crest"},
	"agent_sigterm":  {agent: true, means: "an agent drains, ends and starts anew, as at a planned restart"},
	"power_loss":     {power: true, lasting: true, means: "servers (share), agents (agents) or both lose power, and with it what was not kept"},
	"agent_kill":     {agent: true, means: "an agent ends and starts anew, with what it knew lost"},
}

const (
	mostServers = 2000
	mostAgents  = 500
	mostEvents  = 1000
	mostLength  = time.Hour
	mostRate    = 100000
	mostForms   = 1 << 20
	mostTries   = 20
	safeClass   = "form-check" // the one that may be repeated at will
)

// wait is how long a client waits of its own before it tries again. One time is no draw, so that such a day's other draws
// are the same whoever tries again.
func (l Load) wait(random *rand.Rand) time.Duration {
	if l.Wait.From == l.Wait.To {
		return l.Wait.From
	}
	return l.Wait.draw(random)
}

// again reports whether a request that was refused is tried again, after so many tries.
func (l Load) again(tries int) bool { return l.Retry && tries < l.Tries }

func (a Agents) check() bool {
	return !slices.ContainsFunc(a.Join, func(name string) bool { return name != safeClass })
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
	s := Script{Length: Span{time.Minute, time.Minute}, Fleet: FleetOf{Servers: 12, Agents: 4}, Clients: Load{Rate: 380, Retry: true, Tries: 2, Mark: true, Wait: Span{ownWait, ownWait}, Forms: keys}}
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
	case s.Length.From < time.Second || s.Length.To > mostLength:
		return "", 0, fmt.Errorf("length: a day lasts from 1s to %v", mostLength)
	case s.Fleet.Servers < 1 || s.Fleet.Servers > mostServers:
		return "fleet", 0, fmt.Errorf("servers: %d must be from 1 to %d", s.Fleet.Servers, mostServers)
	case s.Fleet.Agents < 1 || s.Fleet.Agents > mostAgents:
		return "fleet", 0, fmt.Errorf("agents: %d must be from 1 to %d", s.Fleet.Agents, mostAgents)
	case s.Clients.Rate <= 0 || s.Clients.Rate > mostRate:
		return "clients", 0, fmt.Errorf("rate: %v must be above 0 and at most %d", s.Clients.Rate, mostRate)
	case s.Clients.Tries < 1 || s.Clients.Tries > mostTries:
		return "clients", 0, fmt.Errorf("tries: %d must be from 1 to %d", s.Clients.Tries, mostTries)
	case s.Clients.Wait.From <= 0:
		return "clients", 0, errors.New("wait: must be above 0")
	case s.Clients.Forms < 2 || s.Clients.Forms > mostForms:
		return "clients", 0, fmt.Errorf("forms: %d must be from 2 to %d", s.Clients.Forms, mostForms)
	case s.Agents.Door != "" && s.Agents.Door != fleetDoor && s.Agents.Door != knowingDoor && !slices.Contains(admissionvariants.Names(), s.Agents.Door):
		return "agents", 0, fmt.Errorf("door: %q is none; there are %s, %s", s.Agents.Door, fleetDoor, strings.Join(admissionvariants.Names(), ", "))
	case !s.Agents.check():
		return "agents", 0, fmt.Errorf("join: %q names what is no class, or one that must not run twice; there is %q", s.Agents.Join, safeClass)
	case len(s.Events) > mostEvents:
		return "event", mostEvents, fmt.Errorf("at most %d events", mostEvents)
	}
	for i, e := range s.Events {
		if err := e.check(s); err != nil {
			return "event", i, err
		}
	}
	for i, a := range s.Asserts {
		if err := a.check(s); err != nil {
			return "assert", i, err
		}
	}
	return "", 0, nil
}

func (e Event) check(s Script) error {
	v, known := verbs[e.Do]
	if !known {
		return fmt.Errorf("do: %q is no event; there are %s", e.Do, strings.Join(verbNames(), ", "))
	}
	chosen := 0
	for _, is := range []bool{len(e.Servers) > 0, e.Kind != "", e.Share > 0} {
		if is {
			chosen++
		}
	}
	switch {
	case e.At.From >= s.Length.To:
		return fmt.Errorf("at: %v is after the day's end", e.At.From)
	case v.power && (len(e.Servers) > 0 || e.Kind != "" || e.Share == 0 && e.Agents == 0):
		return fmt.Errorf("%s: say how much of the servers by share, of the agents by agents, or both", e.Do)
	case !v.power && (e.List.To > 0 || e.Apart.To > 0):
		return fmt.Errorf("list, apart: %s has none", e.Do)
	case v.servers && chosen != 1:
		return fmt.Errorf("%s: say which by one of servers, kind and share", e.Do)
	case !v.servers && !v.power && chosen != 0:
		return fmt.Errorf("%s: concerns no servers", e.Do)
	case e.Share < 0 || e.Share > 1:
		return errors.New("share: from 0 to 1")
	case e.Kind != "" && !isKind(e.Kind):
		return fmt.Errorf("kind: %q is none of twin-core and quad-core", e.Kind)
	case v.lasting != (e.For.To > 0):
		return fmt.Errorf("for: %s", need(v.lasting, e.Do))
	case v.over != (e.Over.To > 0):
		return fmt.Errorf("over: %s", need(v.over, e.Do))
	case v.batch != (e.Batch > 0) || e.Batch > 1:
		return fmt.Errorf("batch: %s, from 0 to 1", need(v.batch, e.Do))
	case v.to != (e.To > 0):
		return fmt.Errorf("to: %s", need(v.to, e.Do))
	case v.to && !v.loads() && e.To > 1:
		return errors.New("to: a share, at most 1")
	case !v.power && v.agent != (e.Agent > 0 || e.Agents > 0) || e.Agent > s.Fleet.Agents:
		return fmt.Errorf("agent: %s, or agents, a share; there are %d", need(v.agent, e.Do), s.Fleet.Agents)
	case e.Agents < 0 || e.Agents > 1 || e.Agent > 0 && e.Agents > 0:
		return errors.New("agents: a share from 0 to 1, in place of agent")
	case e.Repeat > 1 && e.Every.From <= 0:
		return errors.New("every: what is repeated needs the time after which")
	case e.Repeat < 0 || e.Repeat > mostEvents:
		return fmt.Errorf("repeat: from 0 to %d", mostEvents)
	}
	return nil
}

func need(it bool, do string) string {
	if it {
		return do + " needs it"
	}
	return do + " has none"
}

func isKind(name string) bool {
	for _, k := range kinds {
		if k.name == name {
			return true
		}
	}
	return false
}

func verbNames() []string { return slices.Sorted(maps.Keys(verbs)) }
