package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// check returns what is wrong with an assertion of the script.
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

// check reports whether all coalesced classes are idempotent.
func (a AgentOptions) check() bool {
	return !slices.ContainsFunc(a.CoalescedClasses, func(name string) bool { return name != idempotentClass })
}

// check returns what is wrong with an event of the script.
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

// requirement returns the end of an error: that events of the type need the setting, or that they have none.
func requirement(it bool, do string) string {
	if it {
		return do + " needs it"
	}
	return do + " has none"
}

// isMachineKind reports whether a type of machine has the name.
func isMachineKind(name string) bool {
	for _, k := range machineKinds {
		if k.name == name {
			return true
		}
	}
	return false
}
