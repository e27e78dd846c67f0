package main

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/besteffort"
)

// minUsualServedRatio is the least part of the requests of usual clients that is served beside a mixed crowd.
const minUsualServedRatio = 0.5

// mixedCrowd is a crowd in which each client does another thing each time, under limits of the agent.
type mixedCrowd struct {
	memoryMB, sockets, clients int
	isRestarted                bool // killed in the middle, and started again into the crowd
}

// mix returns what a client of a mixed crowd does: one thing behind the other.
func (a *limitedAgent) mix() func(context.Context, net.Conn) {
	kinds := a.crowds()
	names := slices.Sorted(maps.Keys(kinds))
	var turn atomic.Int64
	return func(ctx context.Context, c net.Conn) {
		name := names[int(turn.Add(1))%len(names)]
		kinds[name](ctx, c)
	}
}

// All kinds of crowds come at once, to a process with the least memory and few descriptors, also to one that is killed and started again into
// them. It stays within its limit with room left, and usual clients get their answers in time: memory was at 31 of 32 MB, and some usual
// clients waited for over 4 s (issue 76, evidence 1).
func TestMixedCrowdLeavesMemoryAndTimeToUsualClients(t *testing.T) {
	settings, lasts := []mixedCrowd{{32, 1024, 300, false}}, 4*time.Second
	if isLongRun() {
		lasts = 10 * time.Second
		settings = nil
		for _, clients := range []int{300, 600} {
			settings = append(settings, mixedCrowd{32, 1024, clients, false}, mixedCrowd{32, 256, clients, false}, mixedCrowd{64, 1024, clients, false},
				mixedCrowd{32, 1024, clients, true}, mixedCrowd{32, 256, clients, true})
		}
	}
	for _, setting := range settings {
		t.Run(fmt.Sprintf("%d MB, %d descriptors, %d clients, restarted %t", setting.memoryMB, setting.sockets, setting.clients, setting.isRestarted), func(t *testing.T) {
			setting.play(t, lasts)
		})
	}
}

func (m mixedCrowd) play(t *testing.T, lasts time.Duration) {
	t.Helper()
	a := startLimited(t, m.memoryMB, m.sockets, true)
	peaks := make(chan float64, 1)
	if m.isRestarted {
		first := a.process
		time.AfterFunc(lasts/2, func() {
			peaks <- a.peakMB()
			besteffort.Ignore(first.Kill())
			a.start()
		})
	}
	answers := a.crowd(m.clients, lasts, a.mix())
	peak := a.peakMB()
	if m.isRestarted {
		peak = max(peak, <-peaks)
	}
	t.Logf("peak %.1f of %d MB; %v", peak, m.memoryMB, answers)
	if peak > float64(m.memoryMB) {
		t.Errorf("%.1f MB were used, %d are allowed", peak, m.memoryMB)
	}
	if answers.slowest > usualPatience && isLongRun() {
		t.Errorf("the slowest answer to a usual client took %v", answers.slowest)
	}
	if float64(answers.served) < minUsualServedRatio*float64(answers.total) && isLongRun() {
		t.Errorf("%d of %d requests of usual clients were served", answers.served, answers.total)
	}
	if answers.unanswered > 0 && !m.isRestarted { // a kill takes what the process held
		t.Errorf("%d of %d requests of usual clients got no answer", answers.unanswered, answers.total)
	}
	resp, err := http.Get("http://" + a.addr + "/ready")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("afterwards: %v %v", resp, err)
	} else {
		besteffort.Close(resp.Body)
	}
	if t.Failed() {
		t.Logf("the agent's log:\n%s", a.log)
	}
	besteffort.Ignore(a.process.Signal(syscall.SIGTERM))
}
