package hclfile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"appleledge/internal/fleetconfig"
)

var names = fleetconfig.Names{Classes: []string{"form-check", "refund-record"}, Tenants: []string{"lerwick-port"},
	Zones: []string{"edinburgh-dc"}, RoutableHeaders: []string{"X-Attrs"}}

// completeText has a block of each kind.
const completeText = `
variable "canary" { default = 10 }
locals {
  small = ["twin-core"]
  part  = var.canary
}
pool "small" { kinds = local.small }
pool "east" {
  zones    = ["edinburgh-dc"]
  pods     = [4, 3, 4]
  networks = ["10.1.2.3/16", "127.0.0.0/8"]
}
route "checks" {
  class   = "form-check"
  headers = { X-Attrs = "trial" }
  to "small" { weight = local.part }
  to "all"   { weight = 100 - local.part }
}
limit "lerwick" {
  tenant    = "lerwick-port"
  in_flight = 0
  rate      = 2.5
  burst     = 5
  come_back = "500ms"
}
drain "pod-3" { pods = [3] }
deadline "d" { at_most = "400ms" }
rollout {
  step = 0.25
  wait = "5s"
}
watch { for = "1m" }
`

// The same text is read from one file, and from a directory of two in another order. Both give the same configuration and hash, as does
// its JSON; a variable that is set changes it.
func TestDirectoryIsOneConfiguration(t *testing.T) {
	dir := t.TempDir()
	cut := strings.Index(completeText, "limit")
	for name, text := range map[string]string{"b.hcl": completeText[:cut], "a.hcl": completeText[cut:], "notes.txt": "{{{"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	sources, err := Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	c, err := Read(sources, nil, names)
	if err != nil {
		t.Fatal(err)
	}
	one, err := Read([]Source{{"x.hcl", []byte(completeText)}}, nil, names)
	if err != nil || one.Hash() != c.Hash() {
		t.Errorf("%v: %s", err, c.JSON())
	}
	if c.Pools[0].Name != "east" || fmt.Sprint(c.Pools[0].Pods, c.Pools[0].Networks) != "[3 4] [127.0.0.0/8 10.1.0.0/16]" ||
		c.Routes[0].To[1].Weight != 10 || *c.Limits[0].MaxInFlight != 0 || c.Drains[0].Share != 1 ||
		c.Watch.FalseAlarms != fleetconfig.DefaultFalseAlarms || time.Duration(c.Deadlines[0].AtMost) != 400*time.Millisecond {
		t.Errorf("read as %s", c.JSON())
	}
	again, err := fleetconfig.Decode(c.JSON())
	if err != nil || again.Hash() != c.Hash() {
		t.Errorf("the JSON of a configuration reads as another: %v", err)
	}
	other, err := Read([]Source{{"x.hcl", []byte(completeText)}}, map[string]string{"canary": "11"}, names)
	if err != nil || other.Routes[0].To[1].Weight != 11 || other.Hash() == c.Hash() {
		t.Errorf("a variable that is set changes nothing: %v", err)
	}
}

// A file has one mistake: of syntax, of names, of ranges, or an expression that would grow beyond all bounds. The error names the file and
// line where it has one, and what was meant.
func TestErrorsNamePlaceAndMeaning(t *testing.T) {
	deep := strings.Repeat("[", 5000)
	doubling := "locals {\n  a0 = \"0123456789abcdef\"\n"
	for i := range 40 {
		doubling += fmt.Sprintf("  a%d = \"${local.a%d}${local.a%d}\"\n", i+1, i, i)
	}
	for text, want := range map[string]string{
		"pool \"a\" {\n  kinds = [\n}":                     "f.hcl:3",
		"\npool \"a\" { kind = [\"x\"] }":                  "f.hcl:2",
		"pol \"a\" {}":                                     "f.hcl:1",
		"pool {}":                                          "f.hcl:1",
		"pool \"all\" {}":                                  "f.hcl:1,1-11: Wrong pool; pool all: is there twice",
		"\n\nroute \"r\" {\n  to \"b\" {}\n}":              "f.hcl:3,1-10: Wrong route; route r.to: there is no pool \"b\"",
		"route \"r\" {\n class = \"x\"\n to \"all\" {}\n}": "\"x\" is not known; there are: form-check, refund-record",
		"route \"r\" {}":                                   "needs a pool with a weight above 0",
		"route \"r\" {\n headers = { x-attrs = \"\" }\n to \"all\" {}\n}": "must be written \"X-Attrs\"",
		"route \"r\" {\n headers = { Cookie = \"\" }\n to \"all\" {}\n}":  "there are: X-Attrs",
		"limit \"l\" {}":                                                      "limits nothing",
		"limit \"l\" { rate = 1 }":                                            "limit l.burst: 0 must be from 1",
		"limit \"l\" { in_flight = -1 }":                                      "in_flight: must be from 0",
		"drain \"d\" {}":                                                      "selects every server",
		"drain \"d\" {\n pods = [1]\n share = 1.5\n}":                         "drain d.share: 1.5 must be above 0",
		"drain \"d\" {\n networks = [\"10.0.0.1\"]\n}":                        "f.hcl:2,2-25: No network",
		"deadline \"d\" {\n\n at_most = \"4\"\n}":                             "f.hcl:3,2-15: No duration",
		"watch {}\nwatch {}":                                                  "f.hcl:2,1-6: Twice",
		"locals { a = local.b }\nlocals { b = local.a }":                      "a, b refer to themselves or to each other",
		"locals { a = local.c }":                                              "Unsupported attribute",
		"locals { a = file(\"/etc/passwd\") }":                                "Function calls not allowed",
		"locals { a = [for x in [1]: [for y in [1]: y]] }":                    "A loop in a loop",
		"locals { a = \"x${1e999999999}\" }":                                  "No such number",
		"locals {\n a = 1e300\n b = local.a * local.a * local.a * local.a\n}": "Too large",
		"variable \"v\" {}":                                                   "set it with -var v=VALUE",
		"locals { a = " + deep:                                                "f.hcl:1,1-1: Too deep",
		doubling + "}":                                                        "Too large",
		"pool \"a\" {}\npool \"a\" {}":                                        "is there twice",
		"pool \"../a\" {}":                                                    "a name has letters",
		"rollout {\n step = 0\n wait = \"5s\"\n}":                             "rollout.step: 0 must be above 0",
	} {
		_, err := Read([]Source{{"f.hcl", []byte(text)}}, nil, names)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60q: %v, want %q", text, err, want)
		}
	}
	if _, err := Read([]Source{{"f.hcl", []byte(completeText)}}, map[string]string{"cannary": "1"}, names); err == nil || !strings.Contains(err.Error(), "cannary") {
		t.Errorf("a variable that nothing reads: %v", err)
	}
}

// Any bytes are read. The reader ends in time, and what it accepts is read again from its JSON with the same hash.
func FuzzRead(f *testing.F) {
	f.Add([]byte(completeText))
	f.Add([]byte("locals { a = [for x in [1, 2]: x] }\npool \"p\" { pods = local.a }"))
	f.Add([]byte("pool \"p\" { ids = [\"${\"a\"}\"] }"))
	f.Add([]byte("drain \"d\" {\n share = 1e-320\n pods = [9223372036854775807]\n}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		began := time.Now()
		defer func() {
			if took := time.Since(began); took > 10*time.Second {
				t.Errorf("took %v", took)
			}
		}()
		if len(text) > 1<<12 {
			return
		}
		c, err := Read([]Source{{"f.hcl", text}}, nil, names)
		if err != nil {
			if _, ok := errors.AsType[*Error](err); !ok || err.Error() == "" {
				t.Fatalf("%T says %q", err, err)
			}
			return
		}
		again, err := fleetconfig.Decode(c.JSON())
		if err != nil || again.Hash() != c.Hash() {
			t.Fatalf("%s reads as another, or not: %v", c.JSON(), err)
		}
	})
}
