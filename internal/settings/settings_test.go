package settings

import (
	"strings"
	"testing"
	"time"
)

func TestNoSectionIsOff(t *testing.T) {
	for _, text := range []string{"", "# [external_processor]\n"} {
		f, err := Parse("f.toml", []byte(text))
		if err != nil || f.ExternalProcessor != nil {
			t.Errorf("%q: %+v, %v", text, f.ExternalProcessor, err)
		}
	}
}

func TestWhatIsNotSetKeepsItsDefault(t *testing.T) {
	f, err := Parse("f.toml", []byte("[external_processor]\nlisten = \"127.0.0.1:9002\"\ndecision_valid = \"250ms\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := DefaultExternalProcessor()
	want.Listen, want.DecisionValid = "127.0.0.1:9002", Duration(250*time.Millisecond)
	if *f.ExternalProcessor != want {
		t.Errorf("%+v", *f.ExternalProcessor)
	}
}

// A wrong file is refused with its name, the line, and what was meant.
func TestWrongFilesAreRefused(t *testing.T) {
	const good = "# agent\n[external_processor]\nlisten = \"127.0.0.1:9002\"\n"
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":       {good + "lisen = 1\n", "f.toml:4: unknown key \"external_processor.lisen\""},
		"unknown section":   {good + "[external_processors]\nlisten = \"x\"\n", "f.toml:4: unknown key \"external_processors"},
		"no TOML":           {good + "max_streams = = 3\n", "f.toml:4: "},
		"wrong type":        {good + "max_streams = \"many\"\n", "f.toml:4: "},
		"no duration":       {good + "\nfirst_message = \"soon\"\n", "f.toml:5: "},
		"a bare number":     {good + "\nfirst_message = 5 # seconds?\n", "f.toml:5: "},
		"too long":          {good + "decision_valid = \"2s\"\n", "f.toml:4: external_processor.decision_valid: 2s must be from 1ms to 450ms"},
		"below the least":   {good + "max_streams = 0\n", "f.toml:4: external_processor.max_streams: 0 must be from 1 to 65536"},
		"no address":        {"[external_processor]\n", "f.toml:1: external_processor.listen: \"\" is no address"},
		"address, no port":  {"[external_processor]\nlisten = \"here\"\n", "f.toml:2: external_processor.listen: \"here\" is no address"},
		"dotted":            {"external_processor.listen = \"here\"\n", "f.toml:1: external_processor.listen"},
		"the section twice": {good + good, "f.toml:5: "},

		"no class":            {"[join]\n", "f.toml:1: join.classes: no class"},
		"a class twice":       {"[join]\nclasses = [\"a\", \"a\"]\n", "f.toml:2: join.classes: \"a\" is named twice"},
		"tenants in between":  {"[join]\nclasses = [\"a\"]\ntenants = \"both\"\n", "f.toml:3: join.tenants: \"both\" must be \"together\" or \"apart\""},
		"waiting without end": {"[join]\nclasses = [\"a\"]\nmax_waiting = 0\n", "f.toml:3: join.max_waiting: 0 must be from 1 to 65536"},

		"nowhere to keep":     {"[recovery]\n", "f.toml:1: recovery.dir: it must name a folder"},
		"no run":              {"[recovery]\ndir = \"d\"\nrun_file = \"\"\n", "f.toml:3: recovery.run_file: it must name a file"},
		"written without end": {"[recovery]\ndir = \"d\"\nevery = \"1ms\"\n", "f.toml:3: recovery.every: 1ms must be from 100ms to 1h0m0s"},

		"no key":              {"[peers]\n", "f.toml:1: peers.key_file: it must name a file"},
		"overload alone":      {"\n[overload]\n", "f.toml:2: overload: it needs the section [peers]"},
		"overload and storm":  {"[storm]\n[peers]\nkey_file = \"k\"\n[overload]\n", "f.toml:4: overload: it has a watch for storms of its own"},
		"nothing remembered":  {"[peers]\nkey_file = \"k\"\n[overload]\nremember = 0\n", "f.toml:4: overload.remember: 0 must be from 1"},
		"half of an address":  {"[peers]\nkey_file = \"k\"\nlisten = \"10.0.0.4:7946\"\n", "f.toml:1: peers.members: listen and members are named both"},
		"a name for a member": {"[peers]\nkey_file = \"k\"\nlisten = \"10.0.0.4:7946\"\nmembers = [\"here:7946\"]\n", "f.toml:4: peers.members: \"here:7946\" is no IPv4"},

		"no source":         {"[membership.file]\npath = \"x\"\n", "f.toml:1: membership.sources: no source"},
		"unknown source":    {"[membership]\n\nsources = [\"dns\"]\n", "f.toml:3: membership.sources: \"dns\" is no source"},
		"a source twice":    {"[membership]\nsources = [\"file\", \"file\"]\n", "f.toml:2: membership.sources: \"file\" is named twice"},
		"no path":           {"[membership]\nsources = [\"file\"]\n", "f.toml:1: membership.file.path: no path"},
		"no control plane":  {"[membership]\nsources = [\"xds\"]\n[membership.xds]\nserver = \"here\"\n", "f.toml:4: membership.xds.server: \"here\" is no address"},
		"polled too seldom": {"[membership]\nsources = [\"file\"]\nfile = {path = \"x\", poll = \"2s\"}\n", "f.toml:3: membership.file.poll: 2s must be from 1ms to 400ms"},
		"subset of the world": {"[membership]\nsources = [\"xds\"]\n[membership.xds]\nserver = \"127.0.0.1:1\"\ndelta = false\nsubset = 3\n",
			"f.toml:6: membership.xds.subset: a subset is taken with delta"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(c.text))
			if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want %s", err, c.want)
			}
		})
	}
	if _, err := Load("no such file"); err == nil {
		t.Error("a file that is not there is no error")
	}
}

// FuzzParse checks that no text makes the parser panic, and that what passes keeps to the checks.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[external_processor]\nlisten = \"127.0.0.1:9002\"\n"))
	f.Add([]byte("external_processor = {listen = \"a:1\", decision_valid = \"3ms\"}"))
	f.Add([]byte("[external_processor"))
	f.Add([]byte("[membership]\nsources = [\"xds\", \"file\"]\n[membership.xds]\nserver = \"127.0.0.1:1\"\n[membership.file]\npath = \"x\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse("f", text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("an error of several lines: %q", err)
			}
			return
		}
		for name, section := range file.sections() {
			if key, err := section.check(); err != nil {
				t.Errorf("%s.%s passed: %v", name, key, err)
			}
		}
	})
}

// A change of [repeats] is a change of the file: it has to be logged that it counts from the next start.
func TestRepeatsCountInEqual(t *testing.T) {
	with, err := Parse("f.toml", []byte("[repeats]\nconfirmed_only = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	without, err := Parse("f.toml", nil)
	if err != nil {
		t.Fatal(err)
	}
	same, err := Parse("f.toml", []byte("\n[repeats]\nconfirmed_only = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	if with.Equal(without) || !with.Equal(same) {
		t.Errorf("equal to none: %v, to the same further down: %v", with.Equal(without), with.Equal(same))
	}
}

// Only a file that states it lets repeats go to servers that send no 100 (Continue): by default, and with an empty section, none does.
func TestUnconfirmedRepeatsAreStated(t *testing.T) {
	for text, want := range map[string]bool{"": false, "[repeats]\n": false, "[repeats]\nconfirmed_only = true\n": false, "[repeats]\nconfirmed_only = false\n": true} {
		f, err := Parse("f.toml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if f.AllowsUnconfirmedRepeats() != want {
			t.Errorf("%q: allowed %v", text, !want)
		}
		if empty, err := Parse("f.toml", []byte("[repeats]\n")); err != nil || want && f.Equal(empty) {
			t.Errorf("%q is taken for the default, %v", text, err)
		}
	}
}
