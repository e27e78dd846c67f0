// Package settings reads the agent's own settings file, which is TOML (https://toml.io/en/v1.0.0). What the file does
// not name stays off. Nothing in it concerns the platform, whose configuration is a file of its own.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// File is the whole file. A section that it does not hold is nil, and what belongs to it is off.
type File struct {
	ExternalProcessor *ExternalProcessor `toml:"external_processor"`
	Membership        *Membership        `toml:"membership"`
	Join              *Join              `toml:"join"`
	Storm             *Storm             `toml:"storm"`
	Telemetry         *Telemetry         `toml:"telemetry"`
	Generations       *Generations       `toml:"generations"`
	Affinity          *Affinity          `toml:"affinity"`
	Figures           *Figures           `toml:"figures"`
	Recovery          *Recovery          `toml:"recovery"`
	Peers             *Peers             `toml:"peers"`
	Overload          *Overload          `toml:"overload"`

	name  string
	lines map[string]int
}

// Equal reports whether two files set the same, wherever in the file.
func (f File) Equal(other File) bool {
	return reflect.DeepEqual(f.ExternalProcessor, other.ExternalProcessor) && reflect.DeepEqual(f.Membership, other.Membership) &&
		reflect.DeepEqual(f.Join, other.Join) && reflect.DeepEqual(f.Storm, other.Storm) &&
		reflect.DeepEqual(f.Telemetry, other.Telemetry) && reflect.DeepEqual(f.Generations, other.Generations) &&
		reflect.DeepEqual(f.Affinity, other.Affinity) && reflect.DeepEqual(f.Figures, other.Figures) &&
		reflect.DeepEqual(f.Recovery, other.Recovery) && reflect.DeepEqual(f.Peers, other.Peers) &&
		reflect.DeepEqual(f.Overload, other.Overload)
}

// section is a part of the file that checks itself: check returns the key that is wrong, within the section, and what is
// wrong with it.
type section interface {
	check() (key string, err error)
}

func (f File) sections() map[string]section {
	out := map[string]section{}
	if f.ExternalProcessor != nil {
		out["external_processor"] = f.ExternalProcessor
	}
	if f.Membership != nil {
		out["membership"] = f.Membership
	}
	if f.Join != nil {
		out["join"] = f.Join
	}
	if f.Storm != nil {
		out["storm"] = f.Storm
	}
	if f.Telemetry != nil {
		out["telemetry"] = f.Telemetry
	}
	if f.Generations != nil {
		out["generations"] = f.Generations
	}
	if f.Affinity != nil {
		out["affinity"] = f.Affinity
	}
	if f.Figures != nil {
		out["figures"] = f.Figures
	}
	if f.Peers != nil {
		out["peers"] = f.Peers
	}
	if f.Overload != nil {
		out["overload"] = f.Overload
	}
	if f.Recovery != nil {
		out["recovery"] = f.Recovery
	}
	return out
}

// Position says where a key or section stands in the file, as file and line.
func (f File) Position(key string) string { return fmt.Sprintf("%s:%d", f.name, f.lines[key]) }

// ExternalProcessor is the section [external_processor]: the front that other proxies call.
type ExternalProcessor struct {
	Listen         string   `toml:"listen"`            // host and port
	MaxConnections int      `toml:"max_connections"`   // from proxies, at a time
	MaxStreams     int      `toml:"max_streams"`       // open on one connection
	MaxOpen        int      `toml:"max_open"`          // streams and requests held in all
	MaxMessage     int      `toml:"max_message_bytes"` // of a message from a proxy
	MaxSubset      int      `toml:"max_subset"`        // endpoints in a subset hint
	DecisionValid  Duration `toml:"decision_valid"`    // how long a decision may be used, at most
	FirstMessage   Duration `toml:"first_message"`     // how long a stream may say nothing at first
	KeepaliveTime  Duration `toml:"keepalive_time"`    // of silence, after which a connection is pinged
	KeepaliveWait  Duration `toml:"keepalive_wait"`    // for the answer to that ping
	Remember       Duration `toml:"remember"`          // how requests ended that may have run
	RememberMost   int      `toml:"remember_most"`     // how many of those
	ModeOverride   bool     `toml:"mode_override"`     // ask proxies to send the ends of responses
	Health         bool     `toml:"health"`            // offer grpc.health.v1.Health
	Reflection     bool     `toml:"reflection"`        // offer grpc.reflection.v1.ServerReflection
}

// DefaultExternalProcessor is the section with nothing but an address set.
func DefaultExternalProcessor() ExternalProcessor {
	return ExternalProcessor{
		MaxConnections: 16,
		MaxStreams:     256,
		MaxOpen:        512,
		MaxMessage:     32 << 10,
		MaxSubset:      1024,
		DecisionValid:  Duration(400 * time.Millisecond),
		FirstMessage:   Duration(3 * time.Second),
		KeepaliveTime:  Duration(10 * time.Second),
		KeepaliveWait:  Duration(3 * time.Second),
		Remember:       Duration(10 * time.Second),
		RememberMost:   8192,
		ModeOverride:   true,
	}
}

// Duration is a time in the form of Go's time.ParseDuration, such as "400ms".
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return BadValueError{string(text), "is no duration; write a number and a unit, such as \"400ms\" or \"3s\""}
	}
	*d = Duration(v)
	return nil
}

// String is the duration in the form that UnmarshalText reads.
func (d Duration) String() string { return time.Duration(d).String() }

// BadValueError is a value that can't be read. The decoder tells the place of some of them only.
type BadValueError struct{ Text, Problem string }

func (e BadValueError) Error() string { return fmt.Sprintf("%q %s", e.Text, e.Problem) }

// Load reads and checks a file. Errors name the file and the line and say what was meant.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("reading the settings: %w", err)
	}
	return Parse(path, text)
}

// Parse reads and checks a file's text; name stands for the file in errors.
func Parse(name string, text []byte) (File, error) {
	f := File{name: name, lines: keyLines(text)}
	if _, there := f.lines["external_processor"]; there { // what the file does not set keeps its default
		section := DefaultExternalProcessor()
		f.ExternalProcessor = &section
	}
	if _, there := f.lines["membership"]; there {
		section := DefaultMembership()
		f.Membership = &section
	}
	if _, there := f.lines["join"]; there {
		section := DefaultJoin()
		f.Join = &section
	}
	if _, there := f.lines["storm"]; there {
		section := DefaultStorm()
		f.Storm = &section
	}
	if _, there := f.lines["affinity"]; there {
		section := DefaultAffinity()
		f.Affinity = &section
	}
	if _, there := f.lines["figures"]; there {
		section := DefaultFigures()
		f.Figures = &section
	}
	if _, there := f.lines["peers"]; there {
		section := DefaultPeers()
		f.Peers = &section
	}
	if _, there := f.lines["recovery"]; there {
		section := DefaultRecovery()
		f.Recovery = &section
	}
	if _, there := f.lines["overload"]; there {
		section := DefaultOverload()
		f.Overload = &section
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return File{}, LocateError(name, text, err)
	}
	sections := f.sections()
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		if key, err := sections[name].check(); err != nil {
			return File{}, fmt.Errorf("%s: %s.%s: %w", f.Position(f.nearestKey(name+"."+key)), name, key, err)
		}
	}
	if err := f.checkOverloadRequirements(); err != nil {
		return File{}, fmt.Errorf("%s: overload: %w", f.Position("overload"), err)
	}
	return f, nil
}

// nearest is a key that the file sets, or else the innermost table round it that it has.
func (f File) nearestKey(key string) string {
	for f.lines[key] == 0 && strings.Contains(key, ".") {
		key = key[:strings.LastIndex(key, ".")]
	}
	return key
}

// LocateError puts the file and the line before an error of the decoder, which read that text.
func LocateError(name string, text []byte, err error) error {
	if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("%s:%d: unknown key %q; it is misspelt, or belongs to another section", name, line,
			strings.Join(first.Key(), "."))
	}
	if decode, ok := errors.AsType[*toml.DecodeError](err); ok {
		line, _ := decode.Position()
		return fmt.Errorf("%s:%d: %s", name, line, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	if bad, ok := errors.AsType[BadValueError](err); ok {
		if line := lineOf(text, bad.Text); line > 0 {
			return fmt.Errorf("%s:%d: %w", name, line, err)
		}
	}
	return fmt.Errorf("%s: %w", name, err)
}

// lineOf is the first line on which a key has that value, as it stands or in quotes; 0 if there is none.
func lineOf(text []byte, value string) int {
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		_, after, _ := strings.Cut(line, "=")
		after, _, _ = strings.Cut(after, "#")
		if strings.Trim(strings.TrimSpace(after), `"'`) == value {
			return number
		}
	}
	return 0
}

// maxDecisionValid keeps decisions usable for less than the 500 ms after which nothing new may go to a server that drains,
// with some room for the way to the proxy.
const maxDecisionValid = 450 * time.Millisecond

// check returns the key that is wrong, and what is wrong with it.
func (e *ExternalProcessor) check() (key string, err error) {
	if _, _, err := net.SplitHostPort(e.Listen); err != nil {
		return "listen", fmt.Errorf("%q is no address; write host and port, such as \"127.0.0.1:9002\"", e.Listen)
	}
	return checkBounds(
		countBounds{
			{"max_connections", e.MaxConnections, 1, 1024},
			{"max_streams", e.MaxStreams, 1, 1 << 16},
			{"max_open", e.MaxOpen, 1, 1 << 20},
			{"max_message_bytes", e.MaxMessage, 1 << 10, 4 << 20},
			{"max_subset", e.MaxSubset, 1, 1 << 16},
			{"remember_most", e.RememberMost, 1, 1 << 20},
		},
		durationBounds{
			{"decision_valid", e.DecisionValid, time.Millisecond, maxDecisionValid},
			{"first_message", e.FirstMessage, 10 * time.Millisecond, time.Minute},
			{"keepalive_time", e.KeepaliveTime, time.Second, time.Hour}, // gRPC takes no less than a second
			{"keepalive_wait", e.KeepaliveWait, 10 * time.Millisecond, time.Minute},
			{"remember", e.Remember, 0, time.Hour},
		})
}

// counts and times are keys with their values and bounds.
type (
	countBounds []struct {
		key                string
		value, least, most int
	}
	durationBounds []struct {
		key         string
		value       Duration
		least, most time.Duration
	}
)

// checkBounds returns the first key that is out of its bounds.
func checkBounds(c countBounds, t durationBounds) (key string, err error) {
	for _, n := range c {
		if n.value < n.least || n.value > n.most {
			return n.key, fmt.Errorf("%d must be from %d to %d", n.value, n.least, n.most)
		}
	}
	for _, d := range t {
		if v := time.Duration(d.value); v < d.least || v > d.most {
			return d.key, fmt.Errorf("%v must be from %v to %v", d.value, d.least, d.most)
		}
	}
	return "", nil
}
