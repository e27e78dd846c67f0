// Package logstats adds up the statistics that agents write to their logs (section [figures] of the settings).
package logstats

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Message is the message of the log lines with an agent's statistics. Tools and old logs have it: it must not change.
const Message = "figures"

// Bounds on what is read: the bytes of a line, and the number of time steps.
const (
	maxLineBytes = 64 << 10
	maxRows      = 24 * 3600
)

// Sum is the statistics of all logs that were read, added up by time step. It is not safe for concurrent use.
type Sum struct {
	Rows map[int64]map[string]float64 // by the number of the step since 1970 (UTC), and by the attribute's key
	step time.Duration
}

// New returns an empty sum with steps of that length, which must be above 0.
func New(step time.Duration) (*Sum, error) {
	if step <= 0 {
		return nil, fmt.Errorf("a step of %v must be above 0", step)
	}
	return &Sum{Rows: map[int64]map[string]float64{}, step: step}, nil
}

// Read adds a log. Lines that are not statistics are skipped. An error names the line; what precedes it was added.
func (s *Sum) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		if err := s.addLine(lines.Text()); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
	return lines.Err()
}

// addLine adds one line of a log in the format of slog's text handler.
func (s *Sum) addLine(text string) error {
	_, text, found := strings.Cut(text, "time=")
	if !found || !strings.Contains(text, " msg="+Message+" ") {
		return nil
	}
	fields := strings.Fields(text)
	at, err := time.Parse(time.RFC3339Nano, fields[0])
	if err != nil {
		return fmt.Errorf("%q is no time: %w", fields[0], err)
	}
	key := at.UnixNano() / int64(s.step)
	row := s.Rows[key]
	if row == nil {
		if len(s.Rows) == maxRows {
			return fmt.Errorf("the logs have over %d steps; take longer ones", maxRows)
		}
		row = map[string]float64{}
		s.Rows[key] = row
	}
	for _, field := range fields[1:] {
		name, value, _ := strings.Cut(field, "=")
		if n, err := strconv.ParseFloat(value, 64); err == nil {
			row[name] += n
		}
	}
	return nil
}

// Write writes a table with a row for each attribute and a column for each time step with data. Its error says that there are
// no data; errors of w are ignored.
func (s *Sum) Write(w io.Writer) error {
	if len(s.Rows) == 0 {
		return errors.New("no line of figures in these logs; agents write them whose settings have a section [figures]")
	}
	times := slices.Sorted(maps.Keys(s.Rows))
	names := map[string]bool{}
	for _, row := range s.Rows {
		for name := range row {
			names[name] = true
		}
	}
	fmt.Fprintf(w, "%-24s", "from "+time.Unix(0, times[0]*int64(s.step)).UTC().Format(time.TimeOnly))
	for _, at := range times {
		fmt.Fprintf(w, "%7v", time.Duration(at-times[0])*s.step)
	}
	fmt.Fprintln(w)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		fmt.Fprintf(w, "%-24s", name)
		for _, at := range times {
			fmt.Fprintf(w, "%7.0f", s.Rows[at][name])
		}
		fmt.Fprintln(w)
	}
	return nil
}
