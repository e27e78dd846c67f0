package testgate

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
)

// recording is a stream of events as "go test -json" writes them.
type recording struct{ strings.Builder }

func (r *recording) add(e event) *recording {
	line, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	r.Write(append(line, '\n'))
	return r
}

// test adds a test of package tiny/a that logs text and ends with action.
func (r *recording) test(name, action, text string) *recording {
	r.add(event{Action: "run", Package: "tiny/a", Test: name})
	r.testOutput(name, "=== RUN   "+name+"\n")
	if text != "" {
		r.testOutput(name, text)
	}
	r.testOutput(name, "--- "+strings.ToUpper(action)+": "+name+" (0.00s)\n")
	return r.add(event{Action: action, Package: "tiny/a", Test: name})
}

func (r *recording) testOutput(name, text string) *recording {
	return r.add(event{Action: "output", Package: "tiny/a", Test: name, Output: text})
}

func (r *recording) output(text string) *recording { return r.testOutput("", text) }

func (r *recording) passed() *recording {
	return r.output("PASS\n").output("ok  \ttiny/a\t0.012s\n").add(event{Action: "pass", Package: "tiny/a"})
}

func (r *recording) failed() *recording { return r.output("FAIL\n").died() }

// died ends the package as one whose process ended before its tests did.
func (r *recording) died() *recording {
	return r.output("FAIL\ttiny/a\t0.012s\n").add(event{Action: "fail", Package: "tiny/a"})
}

func record() *recording { return &recording{} }

func listed(names ...string) (list []KnownRed) {
	for i, name := range names {
		list = append(list, KnownRed{Test: TestID{"tiny/a", name}, Command: "go test", Seed: "1", Seen: "late", Issue: "36", Line: 1 + 6*i})
	}
	return list
}

const ownMessage = "    a_test.go:7: no\n"

func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name   string
		events *recording
		known  []KnownRed
		want   []string // problems
		listed []Outcome
	}{
		{name: "all pass", events: record().test("TestA", "pass", "").passed()},
		{name: "a test fails", events: record().test("TestA", "fail", ownMessage).failed(), want: []string{"tiny/a TestA: failed"}},
		{name: "a listed test fails", events: record().test("TestA", "fail", ownMessage).failed(), known: listed("TestA"), listed: []Outcome{Failed}},
		{name: "one beside a listed test fails", events: record().test("TestA", "fail", ownMessage).test("TestAB", "fail", ownMessage).failed(),
			known: listed("TestA"), want: []string{"tiny/a TestAB: failed"}, listed: []Outcome{Failed}},
		{name: "a listed test passes", events: record().test("TestA", "pass", "").passed(), known: listed("TestA"), listed: []Outcome{Passed}},
		{name: "a listed test is skipped", events: record().test("TestA", "skip", ownMessage).passed(), known: listed("TestA"), listed: []Outcome{Skipped}},
		{name: "a listed test fails once of two times", events: record().test("TestA", "fail", ownMessage).test("TestA", "pass", "").failed(),
			known: listed("TestA"), listed: []Outcome{Failed}},
		{name: "a listed test does not exist", events: record().test("TestA", "pass", "").passed(), known: listed("TestA", "TestB"),
			want: []string{"tiny/a TestB: is listed as known-red in line 7 and does not exist"}, listed: []Outcome{Passed, Missing}},
		{name: "a listed parent covers its subtests", events: record().test("TestA/x", "fail", ownMessage).test("TestA/x/y", "fail", ownMessage).test("TestA", "fail", "").failed(),
			known: listed("TestA"), listed: []Outcome{Failed}},
		{name: "a listed subtest covers the failure of its parents", events: record().test("TestA/x/y", "fail", ownMessage).test("TestA/x", "fail", "").test("TestA", "fail", "").failed(),
			known: listed("TestA/x/y"), listed: []Outcome{Failed}},
		{name: "a listed subtest does not cover its sibling", events: record().test("TestA/x", "fail", ownMessage).test("TestA/y", "fail", ownMessage).test("TestA", "fail", "").failed(),
			known: listed("TestA/x"), want: []string{"tiny/a TestA/y: failed"}, listed: []Outcome{Failed}},
		{name: "a listed subtest does not cover what its parent reports", events: record().test("TestA/x", "fail", ownMessage).test("TestA", "fail", ownMessage).failed(),
			known: listed("TestA/x"), want: []string{"tiny/a TestA: failed"}, listed: []Outcome{Failed}},
		{name: "a parent fails without its listed subtest", events: record().test("TestA/x", "pass", "").test("TestA", "fail", "").failed(),
			known: listed("TestA/x"), want: []string{"tiny/a TestA: failed"}, listed: []Outcome{Passed}},
		{name: "a listed test panics", events: record().add(event{Action: "run", Package: "tiny/a", Test: "TestA"}).testOutput("TestA", "panic: no\n").died(),
			known:  listed("TestA"),
			want:   []string{"tiny/a TestA: did not end: a panic, an exit or a time-out", "tiny/a: failed with no failed test"},
			listed: []Outcome{Unended}},
		{name: "a listed test is reported as failed, and panics", events: record().test("TestA", "fail", "panic: no\n").died(), known: listed("TestA"),
			want: []string{"tiny/a: failed otherwise than by its tests: a panic, an exit or a time-out"}, listed: []Outcome{Failed}},
		{name: "the process fails after a listed test's failure", events: record().test("TestA", "fail", ownMessage).output("FAIL\n").output("panic: in TestMain\n").died(),
			known: listed("TestA"), want: []string{"tiny/a: failed otherwise than by its tests: a panic, an exit or a time-out"}, listed: []Outcome{Failed}},
		{name: "a package fails with no failed test", events: record().test("TestA", "pass", "").output("PASS\n").died(), known: listed("TestA"),
			want: []string{"tiny/a: failed with no failed test"}, listed: []Outcome{Passed}},
		{name: "a race in a listed test", events: record().test("TestA", "fail", "WARNING: DATA RACE\n").failed(), known: listed("TestA"),
			want: []string{"tiny/a TestA: data race"}, listed: []Outcome{Failed}},
		{name: "a race outside of tests", events: record().test("TestA", "pass", "").output("WARNING: DATA RACE\n").passed(), want: []string{"tiny/a: data race"}},
		{name: "a race report in two events", events: record().output("=====\nWARNING: DA").output("TA RACE\n").passed(), want: []string{"tiny/a: data race"}},
		{name: "a build error", events: record().add(event{Action: "build-output", ImportPath: "tiny/a", Output: "a.go:3:1: no\n"}).add(event{Action: "build-fail", ImportPath: "tiny/a"}).
			output("FAIL\ttiny/a [build failed]\n").add(event{Action: "fail", Package: "tiny/a", FailedBuild: "tiny/a"}),
			known: listed("TestA"), listed: []Outcome{Missing},
			want: []string{"tiny/a: build or vet failed", "tiny/a: build or vet failed", "tiny/a TestA: is listed as known-red in line 1 and does not exist"}},
		{name: "a package fails in its setup", events: record().output("FAIL\ttiny/a [setup failed]\n").add(event{Action: "fail", Package: "tiny/a"}),
			want: []string{"tiny/a: failed with no failed test"}},
		{name: "the stream ends early", events: record().test("TestA", "fail", ownMessage), known: listed("TestA"), want: []string{"tiny/a: did not end"}, listed: []Outcome{Failed}},
		{name: "an empty stream", events: record(), want: []string{"go test: no package was tested"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			verdict, err := Judge(strings.NewReader(c.events.String()), c.known, &strings.Builder{})
			if err != nil {
				t.Fatal(err)
			}
			if got := problems(verdict); !slices.Equal(got, c.want) {
				t.Errorf("problems: got %q, want %q", got, c.want)
			}
			if got := outcomes(verdict); !slices.Equal(got, c.listed) {
				t.Errorf("listed: got %q, want %q", got, c.listed)
			}
			if verdict.OK() != (len(c.want) == 0) || verdict.KnownFailures() != slices.Contains(c.listed, Failed) {
				t.Errorf("OK %v, known failures %v", verdict.OK(), verdict.KnownFailures())
			}
		})
	}
}

func problems(v Verdict) (all []string) {
	for _, p := range v.Problems {
		all = append(all, p.String())
	}
	return all
}

func outcomes(v Verdict) (all []Outcome) {
	for _, l := range v.Listed {
		all = append(all, l.Outcome)
	}
	return all
}

func TestJudgeLineThatIsNoEvent(t *testing.T) {
	for _, line := range []string{"go: no\n", "{}\n", `{"Action":"fail"}` + "\n"} {
		verdict, err := Judge(strings.NewReader(line+record().passed().String()), nil, &strings.Builder{})
		if err != nil || len(verdict.Problems) != 1 || verdict.Problems[0].Where != "go test" {
			t.Errorf("%q: %v, %v", line, verdict, err)
		}
	}
}

func TestJudgePrintsAsGoTest(t *testing.T) {
	events := record().test("TestA", "pass", "    a_test.go:5: of a test that passed\n").output("of TestMain\n").passed().String()
	failed := record().test("TestA", "fail", ownMessage).failed().String()
	events += strings.ReplaceAll(failed, "tiny/a", "tiny/b")
	events += `{"Action":"output","Package":"tiny/c","Output":"?   \ttiny/c\t[no test files]\n"}` + "\n" + `{"Action":"skip","Package":"tiny/c"}` + "\n"
	var out strings.Builder
	if _, err := Judge(strings.NewReader(events), nil, &out); err != nil {
		t.Fatal(err)
	}
	want := "ok  \ttiny/a\t0.012s\n" + ownMessage + "--- FAIL: TestA (0.00s)\nFAIL\nFAIL\ttiny/b\t0.012s\n?   \ttiny/c\t[no test files]\n"
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

func TestVerdictPrint(t *testing.T) {
	verdict := Verdict{
		Problems: []Problem{{Where: "tiny/b TestB", Reason: "failed"}},
		Listed:   []Listed{{KnownRed: listed("TestA")[0], Outcome: Passed}},
	}
	var out strings.Builder
	if err := verdict.Print(&out); err != nil {
		t.Fatal(err)
	}
	want := "known-red tests:\n\ttiny/a TestA: passed this time (issue 36: late)\nthe run fails:\n\ttiny/b TestB: failed\nFAIL\n"
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

// full is a disk without room.
type full struct{}

var errFull = errors.New("no room")

func (full) Write([]byte) (int, error) { return 0, errFull }

func TestJudgeReportsWhatItCannotPrint(t *testing.T) {
	if _, err := Judge(strings.NewReader(record().passed().String()), nil, full{}); !errors.Is(err, errFull) {
		t.Errorf("got %v", err)
	}
	if err := (Verdict{Problems: []Problem{{}}}).Print(full{}); !errors.Is(err, errFull) {
		t.Errorf("got %v", err)
	}
}
