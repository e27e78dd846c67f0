// Command simhost runs balancers on the simulator's wire: events on standard input, actions on standard
// output. It hosts many instances, which share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers every batch of events with one flushed reply until the input ends.
func run(in io.Reader, w io.Writer) error {
	var now time.Duration
	var line []byte
	instances := map[string]*balancer.Balancer{}
	decoder, out := simwire.NewDecoder(in), bufio.NewWriterSize(w, 1<<16)
	for {
		m, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var actions []balancer.Action
		switch m.Kind {
		case simwire.BatchStart:
			now = m.Now
		case simwire.InstanceStarted:
			b, err := balancer.New(m.Settings, m.Seed)
			if err != nil {
				return fmt.Errorf("line %d: %w", decoder.Line(), err)
			}
			instances[m.Instance] = b
			actions = b.Start(now)
		case simwire.InstanceKilled:
			delete(instances, m.Instance)
		case simwire.InstanceEvent:
			actions = instances[m.Instance].Handle(now, m.Event)
		case simwire.BatchEnd:
			besteffort.IgnoreResult(out.Write(simwire.AppendYield(nil)))
			if err := out.Flush(); err != nil {
				return err
			}
		}
		for _, a := range actions {
			line = simwire.AppendAction(line[:0], m.Instance, a)
			besteffort.IgnoreResult(out.Write(line)) // a failed write shows at the flush
		}
	}
}
