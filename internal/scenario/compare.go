package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// LoadReport reads a report that Report.JSON wrote.
func LoadReport(path string) (d Report, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return d, fmt.Errorf("reading the report: %w", err)
	}
	if err := json.Unmarshal(text, &d); err != nil {
		return d, fmt.Errorf("%s is no report in JSON: %w", path, err)
	}
	if len(d.Classes) == 0 {
		return d, fmt.Errorf("%s is no report of a day: it names no class of requests", path)
	}
	return d, nil
}

// Compare writes what differs between two reports, figure by figure, and the five-second spans in which one served more than
// the other by the tolerance, a share.
func Compare(out io.Writer, nameA, nameB string, a, b Report, tolerance float64) {
	fmt.Fprintf(out, "A = %s\nB = %s\n%-14s %8s %8s %8s\n", nameA, nameB, "", "A", "B", "B - A")
	line := func(what string, x, y float64) {
		fmt.Fprintf(out, "%-14s %8.4f %8.4f %+8.4f\n", what, x, y, y-x)
	}
	line("service", a.Service.Figure, b.Service.Figure)
	line("whole day", a.Service.Whole, b.Service.Whole)
	line("worst 10 s", a.Service.Worst10, b.Service.Worst10)
	line("worst class", a.Service.WorstClass, b.Service.WorstClass)
	line("worst point", a.Service.WorstPoint, b.Service.WorstPoint)
	for i := range min(len(a.Classes), len(b.Classes)) {
		line(a.Classes[i].Name, a.Classes[i].inTimeRatio(), b.Classes[i].inTimeRatio())
	}
	fmt.Fprintf(out, "%-14s %8d %8d %+8d\n", "rules broken", a.ViolationCount, b.ViolationCount, b.ViolationCount-a.ViolationCount)
	fmt.Fprintf(out, "%-14s %8d %8d %+8d\n", "not held", len(a.FailedAssertions), len(b.FailedAssertions), len(b.FailedAssertions)-len(a.FailedAssertions))
	for from := 0; from < max(len(a.Seconds), len(b.Seconds)); from += 5 {
		if x, y := a.inTimeRatio(from, from+5), b.inTimeRatio(from, from+5); max(x-y, y-x) > tolerance {
			line(fmt.Sprintf("from %d s", from), x, y)
		}
	}
}

// inTimeRatio returns the share of a class's requests that were served within the latency objective.
func (c ClassReport) inTimeRatio() float64 { return ratio(float64(c.InTime), float64(c.Offered)) }

// inTimeRatio returns the share of the requests of the seconds [from, to) that were served within the latency objective; 1 if
// there were none.
func (d Report) inTimeRatio(from, to int) float64 {
	asked, inTime := 0, 0
	for _, s := range d.Seconds[min(from, len(d.Seconds)):min(to, len(d.Seconds))] {
		asked, inTime = asked+s.Offered, inTime+s.InTime
	}
	return ratio(float64(inTime), float64(asked))
}
