package agent

import (
	"context"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/fleet/peer"
	"appleledge/internal/operator"
)

// fleetView is the fleet as this agent sees it.
type fleetView struct {
	name  string
	core  *engine.Engine
	clock engine.Clock
	keep  *keeping   // nil: nothing is kept
	peers *peer.Node // nil: no others are known
}

// calls is what operators may ask; nil where there is nothing to see.
func (v fleetView) calls() func(context.Context) (operator.Fleet, error) {
	if v.keep == nil && v.peers == nil {
		return nil
	}
	return v.see
}

func (v fleetView) see(ctx context.Context) (operator.Fleet, error) {
	f := operator.Fleet{Agent: v.name}
	load := v.core.Load()
	if st := load.Recovery; st != nil && v.keep != nil {
		r := operator.Recovery{Phase: st.Phase.String(), Why: st.Why, ForS: operator.Seconds(v.clock.Now() - st.Since), LetIn: rounded(st.Rate),
			Warm: rounded(st.Warm), Servers: st.Servers, Answered: st.Heard, Trials: st.Counts.Trials, InVain: st.Counts.Vain,
			Refused: map[string]uint64{}, Trusted: v.keep.trust.String(), Keeping: v.keep.standing()}
		for class, n := range st.Counts.Refused {
			if class < len(load.Tally.Classes) {
				r.Refused[load.Tally.Classes[class]] = n
			}
		}
		f.Recovery = &r
	}
	if v.peers != nil {
		st := v.peers.Status()
		held, counts, err := v.core.Held(ctx)
		if err != nil {
			return f, err
		}
		p := operator.Peers{Self: v.peers.Self(), Alive: st.Alive, Sent: st.Sent, Bytes: st.SentBytes, Taken: st.Taken, Dropped: st.Dropped, HeldOut: held,
			Claims: counts.Claims, Bounded: counts.Dropped, Refuted: st.Counts.Refuted, Suspects: st.Counts.Suspected}
		for _, s := range st.States {
			p.States = append(p.States, s.String())
		}
		f.Peers = &p
	}
	return f, nil
}

// standing says since when what is known is on disk, or why it is not.
func (k *keeping) standing() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.off != "":
		return "nothing: " + k.off
	case k.trouble != nil:
		return "not what is known now: " + k.trouble.Error()
	case k.written.IsZero():
		return "nothing yet"
	}
	return "written " + time.Since(k.written).Round(time.Millisecond).String() + " ago"
}
