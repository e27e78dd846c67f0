package scenario

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Write writes the report as text.
func (d Report) Write(out io.Writer) {
	f := d.Service
	fmt.Fprintf(out, "service %.4f   whole day %.4f   worst 10 s %.4f (from %v)   worst class %.4f   worst point %.4f\n",
		f.Figure, f.Whole, f.Worst10, f.WorstFrom, f.WorstClass, f.WorstPoint)
	for _, c := range d.Classes {
		fmt.Fprintf(out, "%-14s %6d asked  %6d in time  %5d late  %5d refused  %5d failed  %5d unanswered\n", c.Name, c.Offered,
			c.InTime, c.Late, c.Rejected, c.Failed, c.Unanswered)
	}
	fmt.Fprintf(out, "%d tries were the clients' own repeats; %d attempts reached the servers\n", d.ClientRetries, d.attemptsArrived())
	if d.OverloadsDetected > 0 {
		fmt.Fprintf(out, "agents took what they saw for a storm %d times\n", d.OverloadsDetected)
	}
	for _, h := range d.Events {
		fmt.Fprintf(out, "at %-8v %s", (h.At - startTime - settleTime).Round(time.Millisecond), h.Type)
		if h.Duration > 0 {
			fmt.Fprintf(out, " for %v", h.Duration.Round(time.Millisecond))
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "%6s %8s %8s %6s %8s %7s %11s\n", "from s", "asked", "in time", "late", "refused", "failed", "unanswered")
	for i := 0; i < len(d.Seconds); i += 5 {
		var s SecondReport
		for _, one := range d.Seconds[i:min(i+5, len(d.Seconds))] {
			s.Offered, s.InTime, s.Late = s.Offered+one.Offered, s.InTime+one.InTime, s.Late+one.Late
			s.Rejected, s.Failed, s.Unanswered = s.Rejected+one.Rejected, s.Failed+one.Failed, s.Unanswered+one.Unanswered
		}
		if s.Offered > 0 {
			fmt.Fprintf(out, "%6d %8d %8d %6d %8d %7d %11d\n", i, s.Offered, s.InTime, s.Late, s.Rejected, s.Failed, s.Unanswered)
		}
	}
	for _, list := range []struct {
		what  string
		lines []string
	}{{"note: ", d.Notes}, {"BROKEN ", d.Violations}, {"NOT HELD ", d.FailedAssertions}} {
		for _, line := range list.lines {
			fmt.Fprintln(out, list.what+strings.TrimSpace(line))
		}
	}
	if d.ViolationCount > len(d.Violations) {
		fmt.Fprintf(out, "BROKEN %d times in all\n", d.ViolationCount)
	}
	if d.ViolationCount == 0 {
		fmt.Fprintln(out, "the four rules were kept")
	}
}
