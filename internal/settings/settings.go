// Package settings reads the agent's own settings file, which is TOML (https://toml.io/en/v1.0.0). A section that the file
// does not have is off; a key that it does not set has the section's default. The platform's configuration is another file,
// see package platformconfig.
//
// Each section has a file here with its type, its defaults and its check. The names of these types and their fields are
// those of the sections and keys, and not the standard terms of the rest of the code (docs/glossary.md has both), because
// the TOML decoder writes them in its errors: "into struct field settings.Storm.Remember of type int".
package settings

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File is a settings file that was read. A section that it does not have is nil.
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
	Repeats           *Repeats           `toml:"repeats"`

	name  string
	lines map[string]int
}

// Equal reports whether two files have the same settings, wherever they stand in the file.
func (f File) Equal(other File) bool {
	return reflect.DeepEqual(f.ExternalProcessor, other.ExternalProcessor) && reflect.DeepEqual(f.Membership, other.Membership) &&
		reflect.DeepEqual(f.Join, other.Join) && reflect.DeepEqual(f.Storm, other.Storm) &&
		reflect.DeepEqual(f.Telemetry, other.Telemetry) && reflect.DeepEqual(f.Generations, other.Generations) &&
		reflect.DeepEqual(f.Affinity, other.Affinity) && reflect.DeepEqual(f.Figures, other.Figures) &&
		reflect.DeepEqual(f.Recovery, other.Recovery) && reflect.DeepEqual(f.Peers, other.Peers) &&
		reflect.DeepEqual(f.Overload, other.Overload) && reflect.DeepEqual(f.Repeats, other.Repeats) &&
		f.AllowsUnconfirmedRepeats() == other.AllowsUnconfirmedRepeats()
}

// section is a part of the file that checks itself: check returns the key that is wrong, within the section, and what is
// wrong with it.
type section interface {
	check() (key string, err error)
}

// sections returns the sections that the file has, by name.
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
	if f.Repeats != nil {
		out["repeats"] = f.Repeats
	}
	return out
}

// Position returns the file and the line of a key or section, by its dotted name, for errors.
func (f File) Position(key string) string { return fmt.Sprintf("%s:%d", f.name, f.lines[key]) }

// Load reads and checks a file. Errors name the file and the line and say what is expected.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("reading the settings: %w", err)
	}
	return Parse(path, text)
}

// Parse reads and checks a file's text; name is that of the file, for errors.
func Parse(name string, text []byte) (File, error) {
	f := File{name: name, lines: keyLines(text)}
	f.setDefaults()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return File{}, LocateError(name, text, err)
	}
	if err := f.check(); err != nil {
		return File{}, err
	}
	return f, nil
}

// setDefaults makes the sections that the text has, with their defaults, which the decoder then overwrites by what is set.
func (f *File) setDefaults() {
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
}

// check checks the values of all sections, in the order of their names, and what one section requires of another.
func (f File) check() error {
	sections := f.sections()
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		if key, err := sections[name].check(); err != nil {
			return fmt.Errorf("%s: %s.%s: %w", f.Position(f.nearestKey(name+"."+key)), name, key, err)
		}
	}
	if err := f.checkOverloadRequirements(); err != nil {
		return fmt.Errorf("%s: overload: %w", f.Position("overload"), err)
	}
	return nil
}

// nearestKey returns the key if the file sets it, else the innermost table around it that the file has.
func (f File) nearestKey(key string) string {
	for f.lines[key] == 0 && strings.Contains(key, ".") {
		key = key[:strings.LastIndex(key, ".")]
	}
	return key
}
