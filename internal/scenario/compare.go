package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// LoadDay reads a report that Day.JSON wrote.
func LoadDay(path string) (d Day, err error) {
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

// Compare writes what differs between two days, figure by figure, and the five-second spans in which one served more than
// the other by the tolerance, a share.
func Compare(out io.Writer, nameA, nameB string, a, b Day, tolerance float64) {
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
		line(a.Classes[i].Name, a.Classes[i].inTime(), b.Classes[i].inTime())
	}
	fmt.Fprintf(out, "%-14s %8d %8d %+8d\n", "rules broken", a.Breaks, b.Breaks, b.Breaks-a.Breaks)
	fmt.Fprintf(out, "%-14s %8d %8d %+8d\n", "not held", len(a.Failing), len(b.Failing), len(b.Failing)-len(a.Failing))
	for from := 0; from < max(len(a.Seconds), len(b.Seconds)); from += 5 {
		if x, y := a.share(from, from+5), b.share(from, from+5); max(x-y, y-x) > tolerance {
			line(fmt.Sprintf("from %d s", from), x, y)
		}
	}
}

// inTime is the share of a class's requests that were served within the aim.
func (c ClassDay) inTime() float64 { return ratio(float64(c.InAim), float64(c.Offered)) }

// share is the share of the requests of some seconds that were served within the aim; 1 where there were none.
func (d Day) share(from, to int) float64 {
	asked, inTime := 0, 0
	for _, s := range d.Seconds[min(from, len(d.Seconds)):min(to, len(d.Seconds))] {
		asked, inTime = asked+s.Offered, inTime+s.InAim
	}
	return ratio(float64(inTime), float64(asked))
}
