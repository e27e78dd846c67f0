package fleetgen

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"appleledge/internal/settings"
)

// Script is a fleet and what becomes of it.
type Script struct {
	Fleet Spec   `toml:"fleet"`
	Steps []Step `toml:"step"`
}

// Step is a change, once or over and over.
type Step struct {
	At    settings.Duration `toml:"at"`
	Do    string            `toml:"do"`    // see Verbs
	Count int               `toml:"count"` // servers each time
	Every settings.Duration `toml:"every"` // 0: once
	For   settings.Duration `toml:"for"`   // how long it goes on
}

// Verbs are what a step may do.
var Verbs = map[string]string{
	"add":     "adds servers that start now",
	"drain":   "makes servers drain",
	"remove":  "takes servers away, draining ones first",
	"replace": "makes servers drain and adds as many; they are taken away the next time",
	"restart": "gives servers a new start",
	"weigh":   "gives servers new weights",
}

// Bounds of a script.
const (
	serversMost = 200_000
	changesMost = 1_000_000 // that all steps make in all
)

// Default is the fleet of a script that says nothing of it.
func Default() Script {
	return Script{Fleet: Spec{Servers: 100, Seed: 1, Cell: 5, Spread: 10, Zone: "edinburgh-dc", Ports: 8081}}
}

// Load reads a script. Errors name the file and the line and say what was meant.
func Load(path string) (Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Script{}, fmt.Errorf("reading the script: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a script's text; name stands for the file in errors.
func Parse(name string, text []byte) (Script, error) {
	s := Default()
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&s); err != nil {
		return s, settings.LocateError(name, text, err)
	}
	tables := settings.TableLines(text)
	if err := s.Fleet.check(); err != nil {
		return s, fmt.Errorf("%s:%d: fleet: %w", name, first(tables["fleet"]), err)
	}
	changes := 0
	for i, step := range s.Steps {
		err := step.check()
		if changes += step.times() * step.Count; err == nil && changes > changesMost {
			err = fmt.Errorf("with this step there are more than %d changes in all", changesMost)
		}
		if err != nil {
			line := 0
			if lines := tables["step"]; i < len(lines) {
				line = lines[i]
			}
			return s, fmt.Errorf("%s:%d: step %d: %w", name, line, i+1, err)
		}
	}
	return s, nil
}

func first(lines []int) int {
	if len(lines) == 0 {
		return 1
	}
	return lines[0]
}

func (f Spec) check() error {
	switch {
	case f.Servers < 0 || f.Servers > serversMost:
		return fmt.Errorf("servers = %d must be from 0 to %d", f.Servers, serversMost)
	case !(f.Spread >= 1 && f.Spread <= 1e6):
		return fmt.Errorf("spread = %v must be from 1 to 1000000", f.Spread)
	case f.Cell < 1:
		return fmt.Errorf("cell = %d must be 1 or more", f.Cell)
	case f.Ports < 1 || f.Ports > 65535:
		return fmt.Errorf("ports = %d must be from 1 to 65535", f.Ports)
	}
	return nil
}

func (s Step) check() error {
	if Verbs[s.Do] == "" {
		return fmt.Errorf("do = %q is none of add, drain, remove, replace, restart and weigh", s.Do)
	}
	if s.Count < 1 || s.Count > serversMost {
		return fmt.Errorf("count = %d must be from 1 to %d", s.Count, serversMost)
	}
	if s.At < 0 || s.Every < 0 || s.For < 0 || s.For > 0 && s.Every == 0 {
		return fmt.Errorf("at, every and for are times of 0 and more, and for needs every")
	}
	if s.Every > 0 && time.Duration(s.Every) < time.Millisecond {
		return fmt.Errorf("every = %v is shorter than 1ms", s.Every)
	}
	return nil
}

// times is how often a step is carried out.
func (s Step) times() int {
	if s.Every <= 0 {
		return 1
	}
	return 1 + int(time.Duration(s.For)/time.Duration(s.Every))
}

// Publisher tells a list of servers.
type Publisher interface {
	Publish(changed []Server, gone []string) error
}

// moment is one time that a step is carried out.
type moment struct {
	at   time.Duration
	step int
}

func (s Script) moments() (out []moment) {
	for i, step := range s.Steps {
		for n := range step.times() {
			out = append(out, moment{time.Duration(step.At) + time.Duration(n)*time.Duration(step.Every), i})
		}
	}
	slices.SortStableFunc(out, func(x, y moment) int { return cmp.Compare(x.at, y.at) })
	return out
}

// Length is when the last step is over.
func (s Script) Length() (last time.Duration) {
	for _, m := range s.moments() {
		last = max(last, m.at)
	}
	return last
}

// Play publishes the fleet, carries the steps out in their time and publishes what they change, until all is done or the
// context ends. told is called after each, with the number of servers that there are.
func (s Script) Play(ctx context.Context, f *Fleet, to []Publisher, told func(step Step, servers int)) error {
	publish := func(changed []Server, gone []string) error {
		for _, p := range to {
			if err := p.Publish(changed, gone); err != nil {
				return err
			}
		}
		return nil
	}
	if err := publish(f.Servers(), nil); err != nil {
		return err
	}
	began, leaving := time.Now(), map[int][]string{}
	for _, m := range s.moments() {
		t := time.NewTimer(time.Until(began.Add(m.at)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
		changed, gone := s.Steps[m.step].carryOut(f, leaving[m.step])
		if leaving[m.step] = nil; s.Steps[m.step].Do == "replace" {
			for _, c := range changed {
				if c.Draining {
					leaving[m.step] = append(leaving[m.step], c.ID)
				}
			}
		}
		if err := publish(changed, gone); err != nil {
			return err
		}
		told(s.Steps[m.step], len(f.Servers()))
	}
	return nil
}

// carryOut carries a step out once; leaving are those that it made drain the time before.
func (s Step) carryOut(f *Fleet, leaving []string) (changed []Server, gone []string) {
	now := time.Now().UnixMilli()
	switch s.Do {
	case "add":
		changed = f.Add(s.Count, now)
	case "drain":
		changed = f.Drain(s.Count)
	case "remove":
		gone = f.Remove(s.Count)
	case "restart":
		changed = f.Restart(s.Count, now)
	case "weigh":
		changed = f.Weigh(s.Count)
	case "replace":
		gone = f.take(leaving)
		changed = append(f.Drain(s.Count), f.Add(s.Count, now)...)
	}
	return changed, gone
}

// take takes these servers away, as far as they are there.
func (f *Fleet) take(ids []string) (gone []string) {
	f.servers = slices.DeleteFunc(f.servers, func(s Server) bool {
		if !slices.Contains(ids, s.ID) {
			return false
		}
		gone = append(gone, s.ID)
		return true
	})
	return gone
}
