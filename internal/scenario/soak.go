package scenario

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Soak plays days whose faults are all drawn from their seeds, on sockets, with agents in processes of their own. Signals come in
// series, planned restarts end by SIGKILL at the earliest time that the platform allows, and clients use open connections until then.
type Soak struct {
	FirstSeed    uint64
	Seeds        int
	Duration     time.Duration // of a day
	AgentProgram string
	Command      func(seed uint64) string // plays one seed again
	Out          io.Writer
}

// maxStartTime is within which nine in ten restarted agents have to be ready.
const maxStartTime = 10 * time.Second

// Run plays the days, one after another, prints a line for each, and returns how many broke a rule. A context that ends early stops it.
func (s Soak) Run(ctx context.Context) (red int, err error) {
	for i := range s.Seeds {
		if ctx.Err() != nil {
			return red, ctx.Err()
		}
		seed := s.FirstSeed + uint64(i)
		report, err := s.play(ctx, seed)
		if err != nil {
			return red, err
		}
		if !s.print(seed, &report) {
			red++
		}
	}
	return red, nil
}

// FirstRed plays the days until one breaks a rule, and returns its seed and report. found is false if none does.
func (s Soak) FirstRed(ctx context.Context) (seed uint64, report Report, found bool, err error) {
	for i := range s.Seeds {
		seed = s.FirstSeed + uint64(i)
		report, err = s.play(ctx, seed)
		if err == nil {
			err = ctx.Err()
		}
		if err != nil || !s.print(seed, &report) {
			return seed, report, err == nil, err
		}
	}
	return 0, Report{}, false, nil
}

// play plays the day of a seed.
func (s Soak) play(ctx context.Context, seed uint64) (Report, error) {
	report, err := LiveRunner{Script: SoakScript(seed, s.Duration), Seed: seed, AgentProgram: s.AgentProgram, Out: io.Discard}.Run(ctx)
	if err != nil {
		return Report{}, fmt.Errorf("seed %d: %w", seed, err)
	}
	return report, nil
}

// print prints a day's line and, if it broke a rule, what that was, its events and the command that plays it again. It reports whether
// all rules held.
func (s Soak) print(seed uint64, r *Report) (held bool) {
	late, slowest := slowStarts(r.AgentStarts)
	held = r.ViolationCount == 0 && 10*late <= len(r.AgentStarts)
	var offered, lost, failed, rejected int
	for _, c := range r.Classes {
		offered, lost, failed, rejected = offered+c.Offered, lost+c.Unanswered, failed+c.Failed, rejected+c.Rejected
	}
	fmt.Fprintf(s.Out, "seed %d: %d broken, %d requests: %d lost, %d failed, %d refused, service %.3f; %d restarts, ready within %v\n", seed,
		r.ViolationCount, offered, lost, failed, rejected, r.Service.Whole, len(r.AgentStarts), slowest.Round(10*time.Millisecond))
	if held {
		return true
	}
	for _, v := range r.Violations {
		fmt.Fprintln(s.Out, "   ", v)
	}
	var events []string
	for _, e := range r.Events {
		events = append(events, fmt.Sprintf("%v %s", (e.At-startTime-settleTime).Round(10*time.Millisecond), e.Type))
	}
	fmt.Fprintf(s.Out, "    events: %s\n    again: %s\n", strings.Join(events, ", "), s.Command(seed))
	return false
}

// slowStarts counts the starts that took longer than they may, and returns the longest.
func slowStarts(starts []time.Duration) (late int, slowest time.Duration) {
	for _, took := range starts {
		if slowest = max(slowest, took); took > maxStartTime {
			late++
		}
	}
	return late, slowest
}

// soakEvents are the kinds of events that a day draws from besides those that end agents, with what they need.
var soakEvents = []Event{
	{Type: "hang", Duration: Span{time.Second, 5 * time.Second}, ServerShare: 0.15},
	{Type: "read_stall", Duration: Span{100 * time.Millisecond, 4 * time.Second}, ServerShare: 0.15},
	{Type: "pause", Duration: Span{100 * time.Millisecond, time.Second}, ServerShare: 0.2},
	{Type: "throttle", Duration: Span{2 * time.Second, 6 * time.Second}, ServerShare: 0.2, Factor: 0.4},
	{Type: "reset", Duration: Span{time.Second, 4 * time.Second}, ServerShare: 0.4, Factor: 0.2},
	{Type: "spoil", Duration: Span{time.Second, 4 * time.Second}, ServerShare: 0.4, Factor: 0.1},
	{Type: "fast_errors", Duration: Span{time.Second, 4 * time.Second}, ServerShare: 0.3, Factor: 0.3},
	{Type: "restart", ServerShare: 0.15},
	{Type: "rolling_deploy", Period: Span{3 * time.Second, 8 * time.Second}, ServerShare: 0.6, BatchShare: 0.2},
	{Type: "list_outage", Duration: Span{500 * time.Millisecond, 6 * time.Second}},
	{Type: "list_lag", Duration: Span{2 * time.Second, 5 * time.Second}, Period: Span{200 * time.Millisecond, 2 * time.Second}},
	{Type: "load", Duration: Span{time.Second, 4 * time.Second}, Factor: 2},
}

// Bounds of what a day draws.
const (
	minSoakServers, maxSoakServers = 6, 12
	minSoakAgents, maxSoakAgents   = 2, 4
	minSoakRate, maxSoakRate       = 40.0, 120.0 // requests a second
	minSoakEvents, maxSoakEvents   = 3, 8        // besides those that concern agents
	crowdChance                    = 0.3         // of a day with more idle connections than an agent keeps
	crowdConns                     = 400         // of them to each agent
	maxStandstill                  = 150 * time.Millisecond
	minSoakWindow                  = 300 * time.Millisecond
	soakRestingConns               = 20 // to each agent
	minStandstillGap               = 700 * time.Millisecond
	maxStandstillGap               = 2 * time.Second
	standstillStream               = 7 // of the seed's random numbers
	silenceStream                  = 8
	silenceChance                  = 0.6 // of a day with a silent list source, and a deployment around its end
	minListSilence                 = time.Second
	maxListSilence                 = 8 * time.Second
	maxDeployDistance              = 300 * time.Millisecond // from the end of the silence, either way

	earliestEvent = 0.05 // as a share of the day, as are the following
	latestEvent   = 0.75
	latestEnd     = 0.85 // of a fault, so that the day sees what it leads to
	// drainTimeOfAgent is from an agent's SIGTERM to its next start.
	drainTimeOfAgent = deadline + killMargin + agentDowntime
)

// SoakScript draws a day from its seed: the fleet, its clients, and which faults come when.
func SoakScript(seed uint64, lasts time.Duration) Script {
	random := rand.New(rand.NewPCG(seed, 6))
	between := func(from, to int) int { return from + random.IntN(to-from+1) }
	s := Script{Duration: Span{lasts, lasts},
		Fleet: FleetSize{Servers: between(minSoakServers, maxSoakServers), Agents: between(minSoakAgents, maxSoakAgents), RejectsAbandoned: random.Float64() < 0.5,
			DedupWindow: drawWindow(random)},
		Clients: ClientLoad{Rate: minSoakRate + (maxSoakRate-minSoakRate)*random.Float64(), Retry: random.Float64() < 0.5, MaxAttempts: between(2, 4),
			HonorRetryAfter: random.Float64() < 0.5, MarkRetries: true, Backoff: Span{30 * time.Millisecond, 240 * time.Millisecond}, DistinctForms: distinctForms},
		Agents: AgentOptions{Recovery: random.Float64() < 0.5, Gossip: random.Float64() < 0.5, KilledEarly: true}}
	if random.Float64() < crowdChance {
		s.Clients.IdleConns = crowdConns
	}
	for range between(minSoakEvents, maxSoakEvents) {
		e := soakEvents[random.IntN(len(soakEvents))]
		e.At = drawTime(random, lasts, e.Duration.To+e.Period.To)
		s.Events = append(s.Events, e)
	}
	for number := range s.Fleet.Agents {
		s.Events = append(s.Events, agentEvents(random, number+1, drawTime(random, lasts, drainTimeOfAgent))...)
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return int(a.At.From - b.At.From) })
	s.Fleet.OmitsContinue = random.Float64() < 0.5 // drawn last, so that all else of a seed's day is as it was before servers were of two kinds
	s.Clients.RestingConns = soakRestingConns
	s.Events = append(s.Events, drawStandstills(rand.New(rand.NewPCG(seed, standstillStream)), s.Fleet.Agents, lasts)...)
	s.Events = append(s.Events, drawListSilence(rand.New(rand.NewPCG(seed, silenceStream)), lasts)...)
	slices.SortStableFunc(s.Events, func(a, b Event) int { return int(a.At.From - b.At.From) })
	return s
}

// drawListSilence draws whether the source of the server list falls silent, and with it a deployment that begins around its end. It has draws of
// its own, as the standstills do.
func drawListSilence(random *rand.Rand, day time.Duration) []Event {
	if random.Float64() >= silenceChance {
		return nil
	}
	longest := min(maxListSilence, day/3)
	silence := minListSilence + time.Duration(random.Int64N(int64(longest-minListSilence)))
	deployment := Event{Type: "rolling_deploy", ServerShare: 0.6, BatchShare: 0.4, Period: Span{time.Second, 2 * time.Second}}
	at := drawTime(random, day, silence+maxDeployDistance+deployment.Period.To)
	end := at.From + silence
	deployAt := end - maxDeployDistance + time.Duration(random.Int64N(int64(2*maxDeployDistance)))
	deployment.At = Span{deployAt, deployAt}
	return []Event{{Type: "list_silence", At: at, Duration: Span{silence, silence}}, deployment}
}

// drawStandstills draws when the agents' processes do not run for a moment, as others have the processor: each again and again. It has draws
// of its own, so that all else of a seed's day is as it was without them.
func drawStandstills(random *rand.Rand, agents int, day time.Duration) (events []Event) {
	for number := range agents {
		at := time.Duration(earliestEvent * float64(day))
		for {
			at += minStandstillGap + time.Duration(random.Int64N(int64(maxStandstillGap-minStandstillGap)))
			if at+maxStandstill > time.Duration(latestEnd*float64(day)) {
				break
			}
			events = append(events, Event{Type: "agent_pause", Agent: number + 1, At: Span{at, at}, Duration: Span{maxStandstill / 3, maxStandstill}})
		}
	}
	return events
}

// drawWindow draws for how long a pod drops repeats: shorter than the deadline, so that it ends while requests are open.
func drawWindow(random *rand.Rand) Span {
	window := minSoakWindow + time.Duration(random.Int64N(int64(deadline-minSoakWindow)))
	return Span{window, window}
}

// drawTime draws when something that takes so long begins on a day of the given length. It is over before the day's end, if it is shorter
// than most of the day.
func drawTime(random *rand.Rand, day, takes time.Duration) Span {
	share := func(x float64) time.Duration { return time.Duration(x * float64(day)) }
	first := share(earliestEvent)
	last := max(first, min(share(latestEvent), share(latestEnd)-takes))
	at := first + time.Duration(random.Float64()*float64(last-first))
	return Span{at, at}
}

// agentEvents draws what happens to an agent at about that time: it ends once at the most, and signals come in series around that.
func agentEvents(random *rand.Rand, agent int, at Span) (events []Event) {
	add := func(what string, after time.Duration, lasts Span) {
		events = append(events, Event{Type: what, Agent: agent, At: Span{at.From + after, at.From + after}, Duration: lasts})
	}
	switch random.IntN(4) {
	case 0:
		add("agent_kill", 0, Span{})
	case 1, 2:
		add("agent_sigterm", 0, Span{})
		add("agent_reload", 50*time.Millisecond+time.Duration(random.Int64N(int64(deadline))), Span{}) // while it drains
		if random.Float64() < 0.5 {
			add("agent_pause", time.Duration(random.Int64N(int64(deadline/2))), Span{maxStandstill / 3, maxStandstill})
		}
	}
	reload := time.Duration(random.Int64N(int64(maxStandstill))) // twice in quick succession, before all else
	add("agent_reload", -time.Second, Span{})
	add("agent_reload", -time.Second+reload, Span{})
	if random.Float64() < 0.5 {
		add("agent_pause", -500*time.Millisecond, Span{maxStandstill / 3, maxStandstill})
	}
	return slices.DeleteFunc(events, func(e Event) bool { return e.At.From < 0 })
}
