package cluster

import (
	"sync"
	"time"
)

// watchEvery is how often a watched agent is called.
const watchEvery = 20 * time.Millisecond

// Watch calls the operators' port of each agent over and over, and tells by it whether the machine gives processor time to the
// agents and to the test. The function that it returns ends this and returns how long the slowest call took from when it was due.
func (f *Fleet) Watch() (end func() time.Duration) {
	var (
		mu      sync.Mutex
		slowest time.Duration
		callers sync.WaitGroup
	)
	ended := make(chan struct{})
	for _, a := range f.Agents {
		callers.Go(func() {
			due := time.Now()
			for open := true; open; {
				a.Call("GET", "/ops/readiness")
				mu.Lock()
				slowest = max(slowest, time.Since(due))
				mu.Unlock()
				due = time.Now().Add(watchEvery)
				select {
				case <-ended:
					open = false
				case <-time.After(watchEvery):
				}
			}
		})
	}
	return func() time.Duration {
		close(ended)
		callers.Wait()
		return slowest
	}
}
