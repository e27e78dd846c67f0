package agent

import (
	"context"
	"sync"
	"time"
)

// lifetime says which event ends a component.
type lifetime int

const (
	// untilDrain ends with the signal to end the process: the component takes nothing new from then on.
	untilDrain lifetime = iota
	// untilAnswered ends when the drain has ended, that is when each accepted request has its final answer.
	untilAnswered
)

// component is a part of the agent with a goroutine of its own. It is opened, and connected to the engine, before the
// engine runs; run serves until the context of its lifetime ends, then releases what the component holds and returns.
type component struct {
	lifetime lifetime
	run      func(context.Context)
}

// components is the list of an agent's components, in the order in which they start.
type components []component

// add appends a component.
func (c *components) add(l lifetime, run func(context.Context)) {
	*c = append(*c, component{lifetime: l, run: run})
}

// start runs each component in a goroutine of the group.
func (c components) start(draining, answered context.Context, group *sync.WaitGroup) {
	for _, part := range c {
		ctx := answered
		if part.lifetime == untilDrain {
			ctx = draining
		}
		group.Go(func() { part.run(ctx) })
	}
}

// callEvery calls f at intervals until the context ends.
func callEvery(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
