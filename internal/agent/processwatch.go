package agent

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/metrics"
	"time"

	"appleledge/internal/connlimit"
	"appleledge/internal/eventlog"
	"appleledge/internal/memorybudget"
	"appleledge/internal/upstream/connpool"
)

const (
	// processWatchInterval is the time between two looks at the process.
	processWatchInterval = 250 * time.Millisecond

	// minHoldUp is the shortest delay of a look that is logged: the process did not run, or others of its goroutines had the core.
	minHoldUp = 150 * time.Millisecond

	// memoryLogStep is by how many bytes memory has to be above its highest before it is logged again.
	memoryLogStep = 1 << 20

	// memoryLogRatio is the part of the memory limit from which on its highest is logged.
	memoryLogRatio = 0.5
)

// Samples of the runtime, in the order in which processWatch reads them.
const (
	sampleTotal = iota
	sampleReleased
	sampleHeapObjects
	sampleHeapUnused
	sampleStacks
	sampleCount
)

// processWatch logs when the process was held up, and what had its memory when that was highest. It belongs to one goroutine.
type processWatch struct {
	events  *eventlog.Logger
	limit   int64 // of the process' memory, in bytes
	memory  *memorybudget.Budget
	clients *connlimit.Listener
	pool    *connpool.Pool
	samples []metrics.Sample
	highest int64 // bytes that the runtime held when that was logged
}

// openProcessWatch adds the watch of the process.
func (a *assembly) openProcessWatch() error {
	w := &processWatch{events: eventlog.New(a.log), limit: int64(a.cfg.MemoryMB) << 20, memory: a.memory, clients: a.clients, pool: a.pool,
		samples: make([]metrics.Sample, sampleCount)}
	for i, name := range [sampleCount]string{"/memory/classes/total:bytes", "/memory/classes/heap/released:bytes", "/memory/classes/heap/objects:bytes",
		"/memory/classes/heap/unused:bytes", "/memory/classes/heap/stacks:bytes"} {
		w.samples[i].Name = name
	}
	a.components.add(untilAnswered, w.run)
	return nil
}

// run looks at the process until the context ends.
func (w *processWatch) run(ctx context.Context) {
	last := time.Now()
	callEvery(ctx, processWatchInterval, func() {
		now := time.Now()
		w.logHoldUp(now.Sub(last) - processWatchInterval)
		last = now
		w.logMemory()
	})
}

// logHoldUp logs how late a look at the process came.
func (w *processWatch) logHoldUp(delay time.Duration) {
	if delay >= minHoldUp {
		w.events.Log(slog.LevelInfo, "process was held up", slog.Int64("delay_ms", delay.Milliseconds()), slog.Int("goroutines", runtime.NumGoroutine()),
			slog.Uint64("paced", w.clients.PacedCount()))
	}
}

// logMemory logs what holds the memory, if that is higher than before.
func (w *processWatch) logMemory() {
	metrics.Read(w.samples)
	bytes := func(sample int) int64 { return int64(w.samples[sample].Value.Uint64()) }
	held := bytes(sampleTotal) - bytes(sampleReleased)
	if held < w.highest+memoryLogStep || float64(held) < memoryLogRatio*float64(w.limit) {
		return
	}
	w.highest = held
	pool := w.pool.Stats()
	w.events.Log(slog.LevelInfo, "memory is at its highest", slog.Int64("held_kb", held>>10), slog.Int64("heap_objects_kb", bytes(sampleHeapObjects)>>10),
		slog.Int64("heap_unused_kb", bytes(sampleHeapUnused)>>10), slog.Int64("stacks_kb", bytes(sampleStacks)>>10), slog.Int64("budget_kb", w.memory.InUse()>>10),
		slog.Int("goroutines", runtime.NumGoroutine()), slog.Int("client_connections", w.clients.OpenCount()), slog.Int("server_connections", pool.Open))
}
