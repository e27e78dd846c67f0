// Package testgate judges a run of "go test -json" by a list of tests that are known to fail. Listed tests may fail; any other
// failure, a build error, a panic, an exit before the tests' end, a time-out, a data race, or a listed test that does not exist
// fails the run.
//
// A listed test covers its subtests. A listed subtest covers itself and the failure of its parents that follows from it: a
// parent that logs or reports anything by itself may have failed by itself, and is not covered.
package testgate

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// Outcome is what became of a listed test in a run.
type Outcome string

// Outcomes of listed tests.
const (
	Failed  Outcome = "failed"
	Passed  Outcome = "passed this time"
	Skipped Outcome = "skipped this time"
	Missing Outcome = "does not exist"
	Unended Outcome = "did not end"
)

// Listed is a listed test with what became of it.
type Listed struct {
	KnownRed
	Outcome Outcome
}

// Problem is a reason for which a run fails.
type Problem struct {
	Where  string // a package, or a test
	Reason string
}

// String returns the problem in a line.
func (p Problem) String() string { return p.Where + ": " + p.Reason }

// Verdict is the judgment of a run.
type Verdict struct {
	Problems []Problem
	Listed   []Listed
}

// OK reports whether the run passes.
func (v Verdict) OK() bool { return len(v.Problems) == 0 }

// KnownFailures reports whether a listed test failed.
func (v Verdict) KnownFailures() bool {
	return slices.ContainsFunc(v.Listed, func(l Listed) bool { return l.Outcome == Failed })
}

// Print writes the listed tests, the problems, and the line with which "go test" closes a run that fails.
func (v Verdict) Print(out io.Writer) error {
	var text strings.Builder
	if len(v.Listed) > 0 {
		text.WriteString("known-red tests:\n")
	}
	for _, l := range v.Listed {
		fmt.Fprintf(&text, "\t%s: %s (issue %s: %s)\n", l.Test, l.Outcome, l.Issue, l.Seen)
	}
	if !v.OK() {
		text.WriteString("the run fails:\n")
		for _, p := range v.Problems {
			fmt.Fprintf(&text, "\t%s\n", p)
		}
		text.WriteString("FAIL\n")
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// event is a line of "go test -json" (go doc test2json, go help buildjson).
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	ImportPath  string
	FailedBuild string
}

// testRun is a test, while it runs and afterwards.
type testRun struct {
	output    strings.Builder
	running   bool
	failed    bool
	skipped   bool
	complains bool // it logged or reported something by itself
}

// packageRun is a package's tests.
type packageRun struct {
	tests  map[string]*testRun
	failed []string        // tests, in the order in which they ended
	shown  strings.Builder // what is printed when the package ends
	output strings.Builder // of no test
	recent string          // the end of all output, in which a race report may begin
	ended  bool
}

// gate is the state of a run.
type gate struct {
	known    []KnownRed
	out      io.Writer
	packages map[string]*packageRun
	problems []Problem
	err      error // of writing to out
}

// Judge reads the events of a run to their end, prints what "go test" prints without -json, and returns the verdict. The error
// is that of reading or writing.
func Judge(events io.Reader, known []KnownRed, out io.Writer) (Verdict, error) {
	g := &gate{known: known, out: out, packages: make(map[string]*packageRun)}
	lines := bufio.NewReader(events)
	for {
		line, err := lines.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			g.line(line)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return Verdict{}, err
		}
	}
	verdict := g.finish()
	return verdict, g.err
}

func (g *gate) problem(where, format string, args ...any) {
	g.problems = append(g.problems, Problem{Where: where, Reason: fmt.Sprintf(format, args...)})
}

func (g *gate) print(text string) {
	if g.err == nil {
		_, g.err = io.WriteString(g.out, text)
	}
}

// line takes in a line of the stream.
func (g *gate) line(line []byte) {
	var e event
	if err := json.Unmarshal(line, &e); err != nil || e.Action == "" {
		g.print(string(line))
		g.problem("go test", "a line that is no event: %q", bytes.TrimSpace(line))
		return
	}
	switch {
	case e.Action == "build-output":
		g.print(e.Output)
	case e.Action == "build-fail":
		g.problem(e.ImportPath, "build or vet failed")
	case e.Package == "":
		g.problem("go test", "an event without a package: %q", bytes.TrimSpace(line))
	case e.Test == "":
		g.packageEvent(g.packageOf(e), e)
	default:
		g.testEvent(g.packageOf(e), e)
	}
}

func (g *gate) packageOf(e event) *packageRun {
	p := g.packages[e.Package]
	if p == nil {
		p = &packageRun{tests: make(map[string]*testRun)}
		g.packages[e.Package] = p
	}
	return p
}

const raceReport = "WARNING: DATA RACE"

// lookForRace notes a race report, also one that is split over two events.
func (g *gate) lookForRace(p *packageRun, e event) {
	text := p.recent + e.Output
	if strings.Contains(text, raceReport) {
		where := e.Package
		if e.Test != "" {
			where = TestID{e.Package, e.Test}.String()
		}
		g.problem(where, "data race")
		text = ""
	}
	p.recent = text[max(0, len(text)-len(raceReport)+1):]
}

// testEvent takes in an event of a test.
func (g *gate) testEvent(p *packageRun, e event) {
	t := p.tests[e.Test]
	if t == nil {
		t = &testRun{}
		p.tests[e.Test] = t
	}
	switch e.Action {
	case "run":
		t.running = true
	case "output":
		g.lookForRace(p, e)
		t.complains = t.complains || testMessage.MatchString(e.Output)
		if !isProgress(e.Output) {
			t.output.WriteString(e.Output)
		}
	case "pass", "skip":
		t.running, t.skipped = false, e.Action == "skip"
		t.output.Reset()
	case "fail":
		if !t.failed {
			p.failed = append(p.failed, e.Test)
		}
		t.running, t.failed = false, true
		p.shown.WriteString(t.output.String())
		t.output.Reset()
	}
}

// testMessage is what package testing writes for Log, Error and Fatal.
var testMessage = regexp.MustCompile(`^\s+\S+\.go:\d+: `)

// isProgress reports whether a line of output only says that a test begins, waits or goes on.
func isProgress(line string) bool {
	for _, prefix := range []string{"=== RUN ", "=== PAUSE ", "=== CONT ", "=== NAME "} {
		if strings.HasPrefix(line, prefix) {
			return true
		}
	}
	return false
}

// packageEvent takes in an event of a package as a whole.
func (g *gate) packageEvent(p *packageRun, e event) {
	switch e.Action {
	case "output":
		g.lookForRace(p, e)
		p.output.WriteString(e.Output)
	case "pass", "skip", "fail":
		p.ended = true
		g.endPackage(p, e)
	}
}

// endPackage prints a package and judges it.
func (g *gate) endPackage(p *packageRun, e event) {
	g.printTests(e.Package, p)
	lines := strings.SplitAfter(p.output.String(), "\n")
	if e.Action != "fail" {
		lines = slices.DeleteFunc(lines, func(line string) bool { return !isClosing(line) })
	}
	g.print(strings.Join(lines, ""))
	for _, name := range p.failed {
		id := TestID{e.Package, name}
		if !g.covers(p, id) {
			g.problem(id.String(), "failed")
		}
	}
	if e.Action != "fail" {
		return
	}
	switch {
	case e.FailedBuild != "":
		g.problem(e.Package, "build or vet failed")
	case len(p.failed) == 0:
		g.problem(e.Package, "failed with no failed test")
	case !endedInOrder(p.output.String()):
		g.problem(e.Package, "failed otherwise than by its tests: a panic, an exit or a time-out")
	}
}

// printTests prints a package's failed tests and those that did not end; the latter are problems.
func (g *gate) printTests(path string, p *packageRun) {
	g.print(p.shown.String())
	for _, name := range slices.Sorted(maps.Keys(p.tests)) {
		if t := p.tests[name]; t.running {
			g.print(t.output.String())
			g.problem(TestID{path, name}.String(), "did not end: a panic, an exit or a time-out")
		}
	}
}

// isClosing reports whether a line of a package that passed is one which "go test" prints without -v.
func isClosing(line string) bool {
	return strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "?   \t") || strings.HasPrefix(line, "\t")
}

// endedInOrder reports whether package testing itself closed a failed run: its line, and after that no more than coverage and
// the line of "go test".
func endedInOrder(output string) bool {
	closed := false
	for line := range strings.Lines(output) {
		switch {
		case line == "FAIL\n":
			closed = true
		case strings.HasPrefix(line, "FAIL\t"), strings.HasPrefix(line, "coverage: "), strings.TrimSpace(line) == "":
		default:
			closed = false
		}
	}
	return closed
}

// covers reports whether the list lets a failed test fail.
func (g *gate) covers(p *packageRun, failed TestID) bool {
	return slices.ContainsFunc(g.known, func(k KnownRed) bool {
		if failed == k.Test || failed.within(k.Test) {
			return true
		}
		listed := p.tests[k.Test.Name]
		return k.Test.within(failed) && listed != nil && listed.failed && !p.tests[failed.Name].complains
	})
}

// finish judges what shows only at the end of the stream.
func (g *gate) finish() Verdict {
	if len(g.packages) == 0 {
		g.problem("go test", "no package was tested")
	}
	for _, path := range slices.Sorted(maps.Keys(g.packages)) {
		if p := g.packages[path]; !p.ended {
			g.printTests(path, p)
			g.print(p.output.String())
			g.problem(path, "did not end")
		}
	}
	verdict := Verdict{}
	for _, k := range g.known {
		l := Listed{KnownRed: k, Outcome: g.outcome(k.Test)}
		verdict.Listed = append(verdict.Listed, l)
		if l.Outcome == Missing {
			g.problem(k.Test.String(), "is listed as known-red in line %d and does not exist", k.Line)
		}
	}
	verdict.Problems = g.problems
	return verdict
}

// outcome returns what became of a listed test.
func (g *gate) outcome(id TestID) Outcome {
	p := g.packages[id.Package]
	if p == nil || p.tests[id.Name] == nil {
		return Missing
	}
	switch t := p.tests[id.Name]; {
	case t.failed:
		return Failed
	case t.running:
		return Unended
	case t.skipped:
		return Skipped
	}
	return Passed
}
