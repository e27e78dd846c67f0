package balancer

import (
	"testing"
	"time"
)

// service is a discovery that works through calls in turn and turns away those that would wait for too long, which costs
// it as much as half a call.
type service struct {
	call, most time.Duration
	free       time.Duration // when it has done what it has taken
}

// ask takes a call, and returns when it is answered, or that it is turned away.
func (s *service) ask(now time.Duration) (at time.Duration, ok bool) {
	s.free = max(s.free, now)
	if s.free-now+s.call > s.most {
		s.free += s.call / 2
		return now, false
	}
	s.free += s.call
	return s.free, true
}

// All balancers lose the list together, and it stays out of reach for a while. They come back to it without a herd: what they
// ask in an outage is little, and after it all have the list again within a time in which the service could answer each
// of them a few times.
func TestBalancersComeBackToTheListApart(t *testing.T) {
	const outage = 10 * time.Second
	for _, balancers := range []int{4, 80, 800} {
		s := &service{call: 5 * time.Second / time.Duration(balancers), most: 2 * time.Second}
		type due struct {
			at    time.Duration
			tries int
			back  bool
		}
		all := make([]due, balancers)
		of := make([]*Balancer, balancers)
		wait := func(i int, now time.Duration) {
			for _, a := range of[i].Handle(now, ListUnavailable{}) {
				if a.Kind == SetTimer && a.Token == subscribeToken {
					all[i].at = now + a.After
				}
			}
		}
		for i := range of {
			set := testSettings()
			set.Subscribe, set.Balancers, set.Index, set.MaxPollInterval = true, balancers, i, 10*time.Second
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Start(0)
			of[i] = b
			wait(i, 0)
		}
		in, last, missing := 0, time.Duration(0), balancers
		for now := time.Duration(0); missing > 0 && now < 5*time.Minute; now += 5 * time.Millisecond {
			for i := range all {
				if all[i].back || all[i].at > now {
					continue
				}
				of[i].Handle(now, TimerFired{subscribeToken})
				all[i].tries++
				if now < outage {
					in++
					wait(i, now)
				} else if at, ok := s.ask(now); !ok {
					wait(i, now)
				} else {
					all[i].back, last = true, max(last, at)
					missing--
				}
			}
		}
		if missing > 0 || last > outage+25*time.Second {
			t.Errorf("%d balancers: %d without the list, the last one back at %v", balancers, missing, last)
		}
		if in > 5*balancers {
			t.Errorf("%d balancers ask %d times in an outage of %v", balancers, in, outage)
		}
		t.Logf("%d balancers: %d calls in the outage, all back %v after it", balancers, in, last-outage)
	}
}
