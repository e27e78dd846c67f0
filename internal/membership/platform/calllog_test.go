package platform

import (
	"bytes"
	"errors"
	"log/slog"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// What a log says of calls: a regular one, one that brings a new version, one that hangs and is given up with one beside it, one
// that comes late, and one that fails. Regular calls have no line at the usual level.
func TestLogTellsEachIrregularCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := newCallLog(slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{ReplaceAttr: withoutTime})))
		regular := l.begin(40, 300*time.Millisecond, 0, true)
		time.Sleep(300 * time.Millisecond)
		l.answered(regular, 40, 40, false, 0)
		changed := l.begin(40, 300*time.Millisecond, 0, true)
		time.Sleep(200 * time.Millisecond)
		l.answered(changed, 41, 40, false, 2)
		hanging := l.begin(41, 300*time.Millisecond, 0, true)
		time.Sleep(450 * time.Millisecond)
		beside := l.begin(41, 0, 1, true)
		time.Sleep(1050 * time.Millisecond)
		l.givenUp(hanging, "too many are open")
		time.Sleep(500 * time.Millisecond)
		l.answered(beside, 41, 41, false, 0)
		l.failed(l.begin(-1, 0, 0, false), errors.New("refused"))
		want := `level=INFO msg="call to discovery answered" call=2 since=40 wait_ms=300 delay_ms=200 list_age_ms=200 listed=41 held=40 full=false entries=2
level=INFO msg="call to discovery begun" call=4 since=41 wait_ms=0 delay_ms=0 list_age_ms=450 open=1
level=INFO msg="call to discovery given up" call=3 since=41 wait_ms=300 delay_ms=1500 list_age_ms=1500 reason="too many are open"
level=INFO msg="call to discovery answered" call=4 since=41 wait_ms=0 delay_ms=1550 list_age_ms=2000 listed=41 held=41 full=false entries=0
level=INFO msg="call to discovery begun" call=5 since=-1 wait_ms=0 delay_ms=0 list_age_ms=0 open=0
level=INFO msg="call to discovery failed" call=5 since=-1 wait_ms=0 delay_ms=0 list_age_ms=0 error=refused
`
		if got := out.String(); got != want {
			t.Errorf("the log is\n%s\nwant\n%s", got, want)
		}
	})
}

// Of regular calls each has its lines at the debug level.
func TestDebugLogHasRegularCalls(t *testing.T) {
	var out bytes.Buffer
	l := newCallLog(slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug})))
	l.answered(l.begin(40, 300*time.Millisecond, 0, true), 40, 40, false, 0)
	if got := out.String(); strings.Count(got, "level=DEBUG") != 2 || !regexp.MustCompile("call to discovery answered.*listed=40").MatchString(got) {
		t.Errorf("the log is\n%s", got)
	}
}
