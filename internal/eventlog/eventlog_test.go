package eventlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A thousand retries come at once. A burst of lines is written, and the next line says how many were left out.
func TestLinesOverTheRateAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New(slog.New(slog.NewTextHandler(&out, nil)))
		for range 1000 {
			l.Log(slog.LevelInfo, "request retried", slog.String("id", "1"))
		}
		if n := strings.Count(out.String(), "\n"); n != burst {
			t.Errorf("%d lines", n)
		}
		out.Reset()
		time.Sleep(time.Second)
		l.Log(slog.LevelInfo, "request retried")
		if got := out.String(); !strings.Contains(got, "suppressed=950") {
			t.Errorf("then %q", got)
		}
		l.Log(slog.LevelDebug, "below the level")
		if got := out.String(); strings.Contains(got, "below") {
			t.Errorf("then %q", got)
		}
	})
}

// A part that has no log asks for lines all the same.
func TestNilLoggerWritesNothing(t *testing.T) {
	l := New(nil)
	l.Log(slog.LevelError, "a line")
	if l.Enabled(slog.LevelError) {
		t.Error("it is enabled")
	}
}
