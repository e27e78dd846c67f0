// Package show prints plans for people, in the form that infrastructure tools have made usual: created objects are marked +, updated
// ones ~ and deleted ones -. Package appleledgectl calls it; the texts are not a format for programs.
package show

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fatih/color"

	"appleledge/internal/fleetconfig"
	"appleledge/internal/plan"
)

// maxListedIDs is how many servers are named one by one.
const maxListedIDs = 12

// printer writes lines and keeps the first error, after which it writes nothing.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// mark is how a change is marked.
type mark struct {
	sign  string
	color *color.Color
}

// String returns the mark as it is printed.
func (m mark) String() string { return m.color.Sprint(m.sign) }

var marks = map[fleetconfig.Verb]mark{
	fleetconfig.Create: {"+", color.New(color.FgGreen)},
	fleetconfig.Update: {"~", color.New(color.FgYellow)},
	fleetconfig.Delete: {"-", color.New(color.FgRed)},
}

// Plan prints a plan. Whether it has colours is decided by package color: not with NO_COLOR and not outside a terminal.
func Plan(w io.Writer, p *plan.Plan) error {
	out := &printer{w: w}
	if len(p.Changes) == 0 {
		out.line("No changes. Generation %d (%.12s) of agent %s is what the files say.", p.BaseNumber, p.BaseHash, p.Agent)
		return out.err
	}
	warning := color.New(color.FgRed, color.Bold)
	for _, f := range p.Flags {
		out.line("%s %s", warning.Sprintf("! %s:", f.Kind), f.Text)
	}
	if len(p.Flags) > 0 {
		out.line("")
	}
	out.line("Agent %s, from generation %d (%.12s) to %.12s:", p.Agent, p.BaseNumber, p.BaseHash, p.TargetHash)
	if err := Changes(w, p.Changes); err != nil {
		return err
	}
	printEffect(out, p.Effect)
	out.line("")
	out.line("%s", summary(p.Changes))
	return out.err
}

// Changes prints changes object by object, field by field.
func Changes(w io.Writer, changes []fleetconfig.Change) error {
	out := &printer{w: w}
	for _, c := range changes {
		out.line("")
		out.line("  %s %s", marks[c.Verb], objectName(c))
		printFields(out, c)
	}
	return out.err
}

// printFields prints the fields of an object that differ, or all of them where it is created or deleted.
func printFields(out *printer, c fleetconfig.Change) {
	before, after := fields(c.Before), fields(c.After)
	names := map[string]bool{}
	for _, side := range []map[string]string{before, after} {
		for name := range side {
			names[name] = true
		}
	}
	delete(names, "name") // it stands in the object's line
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, wasSet := before[name]
		current, isSet := after[name]
		switch {
		case old == current && wasSet == isSet && c.Verb == fleetconfig.Update:
		case !wasSet:
			out.line("      %s %s = %s", marks[fleetconfig.Create], name, current)
		case !isSet:
			out.line("      %s %s = %s", marks[fleetconfig.Delete], name, old)
		default:
			out.line("      %s %s = %s -> %s", marks[fleetconfig.Update], name, old, current)
		}
	}
}

// fields returns the fields of an object, each as one line of JSON. There are none where the object is not there.
func fields(object json.RawMessage) map[string]string {
	var raw map[string]json.RawMessage
	out := map[string]string{}
	if json.Unmarshal(object, &raw) != nil {
		return out
	}
	for name, v := range raw {
		var text bytes.Buffer
		if json.Compact(&text, v) == nil {
			out[name] = text.String()
		}
	}
	return out
}

// printEffect prints what the change does to the fleet.
func printEffect(out *printer, e plan.Effect) {
	out.line("")
	out.line("On the fleet as it is now:")
	printCapacities(out, e)
	printIDs(out, "drains", e.Drains)
	printIDs(out, "returns", e.Returns)
	for i, s := range e.Steps {
		after := time.Duration(s.AfterSeconds * float64(time.Second)).Round(time.Millisecond)
		out.line("  step %d: %d out after %v at the soonest", i+1, s.DrainedServers, after)
	}
	for _, r := range e.Routes {
		printRoute(out, r)
	}
	for _, l := range e.Limits {
		out.line("  limit %s: would have turned away about %.0f of the last minute's %.0f requests", l.Limit, l.Rejected, l.Arrived)
	}
}

// printCapacities prints the capacity in all, and that of the kinds, zones and pods whose servers change.
func printCapacities(out *printer, e plan.Effect) {
	if c := e.Capacity; c.Servers > 0 || c.ServersAfter > 0 {
		out.line("  servers %d -> %d, capacity %.0f%% of before", c.Servers, c.ServersAfter, 100*c.WeightAfter/max(c.Weight, 1e-9))
	} else {
		out.line("  no servers are listed")
	}
	for _, group := range []struct {
		name       string
		capacities []plan.Capacity
	}{{"kind", e.Kinds}, {"zone", e.Zones}, {"pod", e.Pods}} {
		for _, c := range group.capacities {
			if c.Servers != c.ServersAfter {
				out.line("  %s %s: servers %d -> %d", group.name, c.Name, c.Servers, c.ServersAfter)
			}
		}
	}
}

func printRoute(out *printer, r plan.RouteEffect) {
	var targets []string
	for _, t := range r.Targets {
		targets = append(targets, fmt.Sprintf("%.0f%% to %s (%d servers)", 100*t.Share, t.Pool, t.Servers))
	}
	sign := " "
	if m, isChanged := marks[fleetconfig.Verb(r.Verb)]; isChanged {
		sign = m.String()
	}
	out.line("  %s route %s: %s", sign, r.Route, strings.Join(targets, ", "))
}

// printIDs prints a list of servers, of which it names the first.
func printIDs(out *printer, label string, ids []string) {
	if len(ids) == 0 {
		return
	}
	more := ""
	if n := len(ids) - maxListedIDs; n > 0 {
		ids, more = ids[:maxListedIDs], fmt.Sprintf(" and %d more", n)
	}
	out.line("  %s %s%s", label, strings.Join(ids, " "), more)
}

func summary(changes []fleetconfig.Change) string {
	n := map[fleetconfig.Verb]int{}
	for _, c := range changes {
		n[c.Verb]++
	}
	return fmt.Sprintf("Plan: %d to create, %d to update, %d to delete.", n[fleetconfig.Create], n[fleetconfig.Update], n[fleetconfig.Delete])
}

// objectName returns the kind and name of the object that a change is of; some kinds have no name.
func objectName(c fleetconfig.Change) string {
	if c.Name == "" {
		return c.Kind
	}
	return fmt.Sprintf("%s %q", c.Kind, c.Name)
}
