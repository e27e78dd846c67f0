package membership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// told is an event that a hub delivered, and when.
type told struct {
	engine.Event
	at time.Duration
}

// hub runs a hub in a bubble of driven time until the test ends.
func hub(t *testing.T, sources ...string) (*Hub, func() []told, engine.Clock) {
	clock := engine.NewClock()
	var events []told
	h := NewHub(Options{}, sources, clock, func(ev engine.Event) { events = append(events, told{ev, clock.Now()}) }, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go h.Run(ctx)
	return h, func() []told { synctest.Wait(); return events }, clock
}

// 1,000 small pushes a second are told together, and a drain among them waits no longer than the gap.
func TestSmallPushesAreToldTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, events, clock := hub(t, "s")
		to := h.Sink(0)
		to.Update(Update{Full: true, Members: []engine.Member{member("drains", "d", balancer.Ready)}})
		var drained time.Duration
		for i := range 1000 {
			time.Sleep(time.Millisecond)
			to.Update(Update{Members: []engine.Member{member(fmt.Sprint("s", i), "a", balancer.Ready)}})
			if i == 500 {
				drained = clock.Now()
				to.Update(Update{Members: []engine.Member{member("drains", "d", balancer.Draining)}})
			}
		}
		time.Sleep(time.Second)
		all, waited := events(), time.Duration(-1)
		members := 0
		for _, ev := range all {
			for _, m := range ev.Event.(engine.EndpointUpdate).Members {
				if members++; m.State == balancer.Draining {
					waited = ev.at - drained
				}
			}
		}
		if len(all) > 120 || members != 1002 {
			t.Errorf("1,001 pushes in a second became %d events with %d members", len(all), members)
		}
		if waited < 0 || waited > 2*leastGap {
			t.Errorf("the drain was told after %v", waited)
		}
	})
}

// 10,000 changes in one push come in parts, between which requests are handled, and what ends comes first, also of an
// earlier push that is not told yet.
func TestLargePushComesInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, events, _ := hub(t, "s")
		var all []engine.Member
		for i := range 10_000 {
			all = append(all, member(fmt.Sprint("s", i), fmt.Sprint("a", i), balancer.Ready))
		}
		h.Sink(0).Update(Update{Full: true, Members: all})
		time.Sleep(time.Second)
		first := len(events())
		for i := range all {
			all[i].Weight = 2
		}
		all[9999].State = balancer.Draining
		h.Sink(0).Update(Update{Full: true, Members: all[1:]})
		time.Sleep(time.Second)
		second := events()[first:]
		if parts := (len(all) + partMost - 1) / partMost; first != parts && first != parts+1 || len(second) < parts {
			t.Fatalf("%d and %d parts", first, len(second))
		}
		for i, ev := range second {
			part := ev.Event.(engine.EndpointUpdate).Members
			if len(part) > partMost {
				t.Errorf("%d members at a time", len(part))
			}
			if i == 0 && (part[0].State == balancer.Ready || part[1].State == balancer.Ready) {
				t.Errorf("the part begins with %v and %v", part[0], part[1])
			}
		}
	})
}

// What the module has to hear of lists comes through: also one without a change, and the end of a subscription.
func TestSubscriptionsAreToldOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, events, _ := hub(t, "s")
		h.Sink(0).Update(Update{Full: true})
		time.Sleep(time.Second)
		h.Sink(0).Disconnected(errors.New("a call failed"))
		time.Sleep(time.Second)
		h.Sink(0).Disconnected(fmt.Errorf("%w: at a call", ErrUnsubscribed))
		time.Sleep(time.Second)
		all := events()
		if len(all) != 2 {
			t.Fatalf("%d events", len(all))
		}
		if _, ok := all[0].Event.(engine.EndpointUpdate); !ok {
			t.Errorf("%T", all[0].Event)
		}
		if _, ok := all[1].Event.(engine.EndpointsUnavailable); !ok {
			t.Errorf("%T", all[1].Event)
		}
	})
}
