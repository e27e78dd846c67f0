// Package show writes plans for people.
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

// shownIDs is how many servers are named one by one.
const shownIDs = 12

// printer writes lines and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// The marks of changes, as infrastructure tools have them.
var marks = map[fleetconfig.Verb]struct {
	sign  string
	color *color.Color
}{
	fleetconfig.Create: {"+", color.New(color.FgGreen)},
	fleetconfig.Update: {"~", color.New(color.FgYellow)},
	fleetconfig.Delete: {"-", color.New(color.FgRed)},
}

// Plan writes a plan for people. Colours are the color package's business: NO_COLOR and what is no terminal have none.
func Plan(w io.Writer, p *plan.Plan) error {
	out := &printer{w: w}
	if len(p.Changes) == 0 {
		out.line("No changes. Generation %d (%.12s) of agent %s is what the files say.", p.BaseNumber, p.BaseHash, p.Agent)
		return out.err
	}
	warn := color.New(color.FgRed, color.Bold)
	for _, f := range p.Flags {
		out.line("%s %s", warn.Sprintf("! %s:", f.Kind), f.Text)
	}
	if len(p.Flags) > 0 {
		out.line("")
	}
	out.line("Agent %s, from generation %d (%.12s) to %.12s:", p.Agent, p.BaseNumber, p.BaseHash, p.TargetHash)
	if err := Changes(w, p.Changes); err != nil {
		return err
	}
	writeEffect(out, p.Effect)
	out.line("")
	out.line("%s", count(p.Changes))
	return out.err
}

// Changes writes changes object by object, before and after.
func Changes(w io.Writer, changes []fleetconfig.Change) error {
	out := &printer{w: w}
	for _, c := range changes {
		mark := marks[c.Verb]
		out.line("")
		out.line("  %s %s", mark.color.Sprint(mark.sign), object(c))
		before, after := fields(c.Before), fields(c.After)
		names := map[string]bool{}
		for _, m := range []map[string]string{before, after} {
			for name := range m {
				names[name] = name != "name"
			}
		}
		for _, name := range slices.Sorted(maps.Keys(names)) {
			old, had := before[name]
			now, has := after[name]
			switch {
			case !names[name] || old == now && had == has && c.Verb == fleetconfig.Update:
			case !had:
				out.line("      %s %s = %s", marks[fleetconfig.Create].color.Sprint("+"), name, now)
			case !has:
				out.line("      %s %s = %s", marks[fleetconfig.Delete].color.Sprint("-"), name, old)
			default:
				out.line("      %s %s = %s -> %s", marks[fleetconfig.Update].color.Sprint("~"), name, old, now)
			}
		}
	}
	return out.err
}

// fields are an object's, each as one line of JSON.
func fields(data json.RawMessage) map[string]string {
	var raw map[string]json.RawMessage
	out := map[string]string{}
	if json.Unmarshal(data, &raw) != nil { // there is no object on that side
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

func writeEffect(out *printer, e plan.Effect) {
	out.line("")
	out.line("On the fleet as it is now:")
	if c := e.Capacity; c.Servers > 0 || c.ServersAfter > 0 {
		out.line("  servers %d -> %d, capacity %.0f%% of before", c.Servers, c.ServersAfter, 100*c.WeightAfter/max(c.Weight, 1e-9))
	} else {
		out.line("  no servers are listed")
	}
	for _, group := range []struct {
		what string
		all  []plan.Capacity
	}{{"kind", e.Kinds}, {"zone", e.Zones}, {"pod", e.Pods}} {
		for _, c := range group.all {
			if c.Servers != c.ServersAfter {
				out.line("  %s %s: servers %d -> %d", group.what, c.Name, c.Servers, c.ServersAfter)
			}
		}
	}
	writeIDs(out, "drains", e.Drains)
	writeIDs(out, "returns", e.Returns)
	for i, s := range e.Steps {
		out.line("  step %d: %d out after %v at the soonest", i+1, s.DrainedServers, time.Duration(s.AfterSeconds*float64(time.Second)).Round(time.Millisecond))
	}
	for _, r := range e.Routes {
		var to []string
		for _, t := range r.Targets {
			to = append(to, fmt.Sprintf("%.0f%% to %s (%d servers)", 100*t.Share, t.Pool, t.Servers))
		}
		mark := " "
		if m, changes := marks[fleetconfig.Verb(r.Verb)]; changes {
			mark = m.color.Sprint(m.sign)
		}
		out.line("  %s route %s: %s", mark, r.Route, strings.Join(to, ", "))
	}
	for _, l := range e.Limits {
		out.line("  limit %s: would have turned away about %.0f of the last minute's %.0f requests", l.Limit, l.Rejected, l.Arrived)
	}
}

func writeIDs(out *printer, what string, ids []string) {
	if len(ids) == 0 {
		return
	}
	more := ""
	if n := len(ids) - shownIDs; n > 0 {
		ids, more = ids[:shownIDs], fmt.Sprintf(" and %d more", n)
	}
	out.line("  %s %s%s", what, strings.Join(ids, " "), more)
}

func count(changes []fleetconfig.Change) string {
	n := map[fleetconfig.Verb]int{}
	for _, c := range changes {
		n[c.Verb]++
	}
	return fmt.Sprintf("Plan: %d to create, %d to update, %d to delete.", n[fleetconfig.Create], n[fleetconfig.Update], n[fleetconfig.Delete])
}

// object is what a change is of.
func object(c fleetconfig.Change) string {
	if c.Name == "" {
		return c.Kind
	}
	return fmt.Sprintf("%s %q", c.Kind, c.Name)
}
