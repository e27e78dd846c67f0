package main

// edit replaces a text that a file has exactly once.
type edit struct{ file, old, replacement string }

// fault is a fault that can be planted in the agent.
type fault struct {
	name  string
	edits []edit
}

const (
	retryFile     = "internal/balancer/retry.go"
	repeatFile    = "internal/balancer/repeat.go"
	transportFile = "internal/upstream/http1/transport.go"

	expectContinueFile = "internal/upstream/http1/expectcontinue.go"
)

// faults are the faults that the soak is measured by.
var faults = []fault{
	{"none", nil},
	{"window-not-checked", []edit{
		{repeatFile, "if left <= 0 {", "if left < -24*time.Hour {"},
		{repeatFile, "if left <= b.maxTakeDelay(s) || b.isSilent(s) || b.mayBeTakenLater(first, s, window) || b.isUnconfirmed(s) {", "if b.isSilent(s) || b.mayBeTakenLater(first, s, window) || b.isUnconfirmed(s) {"},
		{transportFile, "s.Clock.Now() < a.WriteDeadline && ", ""},
	}},
	{"scope-not-checked", []edit{
		{retryFile, "(scope != DedupZone || isSameZone(s, first)) && (scope != DedupCell || s.Cell == first.cell) &&", "scope == scope &&"},
		{retryFile, "if r.class.Effect != IdempotentByKey || r.class.DedupScope != DedupCell {\n\t\treturn nil", "if r != nil {\n\t\treturn nil"},
	}},
	{"hedged-though-perhaps-unread", []edit{
		{repeatFile, "b.isSilent(s) || b.mayBeTakenLater(first, s, window) || b.isUnconfirmed(s) {", "b.isUnconfirmed(s) {"},
	}},
	{"written-counts-as-not-run", []edit{
		{transportFile, "\treturn balancer.Reset\n", "\treturn balancer.ConnectFailed\n"},
	}},
	{"body-written-without-100", []edit{
		{expectContinueFile, "s.awaitContinue(c, a, req, out) && ", ""},
	}},
	{"refused-though-it-may-have-run", []edit{
		{retryFile, "return r.class.Effect == Idempotent || r.firstThatMayHaveRun() == nil", "return true"},
	}},
	{"unsafe-is-resent", []edit{
		{retryFile, "if first == nil || r.class.Effect == Idempotent {\n\t\treturn true\n\t}\n\tscope", "if first == nil || r.class.Effect != IdempotentByKey {\n\t\treturn true\n\t}\n\tscope"},
	}},
	{"answers-dropped-1s-after-sigterm", []edit{
		{"internal/cli/cli.go", "\tdefer stop()\n", "\tdefer stop()\n\tgo func() { <-ctx.Done(); <-time.After(time.Second); os.Exit(0) }()\n"},
	}},
	{"one-answer-in-fifty-dropped", []edit{
		{"internal/downstream/http1/server.go", "func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {\n", "func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {\n\tif time.Now().UnixMicro()%50 == 0 {\n\t\ttime.Sleep(200 * time.Millisecond)\n\t\tpanic(http.ErrAbortHandler)\n\t}\n"},
	}},
	{"request-dropped-at-the-idle-limit", []edit{
		{"internal/connlimit/reading.go", "if n, err = c.take(int(fd), p); !errors.Is(err, syscall.EAGAIN) {\n\t\t\treturn\n\t\t}\n\t\terr = os.Err", "if n, err = c.take(int(fd), p); !errors.Is(err, syscall.EAGAIN) {\n\t\t\tn, err = 0, os.ErrDeadlineExceeded\n\t\t\treturn\n\t\t}\n\t\terr = os.Err"},
	}},
	{"connection-ended-without-an-answer", []edit{
		{"internal/connlimit/ending.go", "err := c.writeRefusal([]byte(c.lastAnswer()))", "time.Sleep(100 * time.Millisecond)\n\terr := io.ErrShortWrite"},
	}},
	{"drain-ignored", []edit{
		{"internal/membership/listing/listing.go", `"Terminating": balancer.Draining`, `"Terminating": balancer.Ready`},
	}},
	{"silence-of-the-list-ignored", []edit{
		{"internal/membership/platform/watch.go", "d.beginWatch(pushWatchTimeout), pushWatchTimeout+hungCallDelay", "d.beginWatch(pushWatchTimeout), time.Hour"},
	}},
	{"cold-start-forgotten", []edit{
		{"internal/balancer/slowstart.go", "if s.Started == 0 || age >= b.settings.SlowStartDuration {", "if s.Started == 0 || age >= 0 {"},
	}},
	{"connection-not-closed", []edit{
		{"internal/upstream/connpool/pool.go", "c.SetDeadline(time.Time{}) != nil {\n\t\tp.closeConn(c)\n", "c.SetDeadline(time.Time{}) != nil {\n"},
	}},
}
