package agent

import (
	"context"
	"fmt"
	"log/slog"
	"regexp"
	"strings"
	"testing"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/recovery"
	"appleledge/internal/golden"
	"appleledge/internal/simwire"
)

// The keys that the platform may leave out of a configuration.
func TestGoldenOptionalKeys(t *testing.T) {
	golden.Equal(t, "agent/optional_keys.txt", fmt.Appendf(nil, "%q\n", optionalKeys))
}

// stormy is a door that counts what the test says.
type stormy struct{}

func (stormy) Arrive(time.Duration, admission.Request) (*admission.Permit, admission.Rejection) {
	return nil, admission.Rejection{}
}
func (stormy) Done(time.Duration, *admission.Permit, admission.Outcome) {}
func (stormy) Counts() admission.Counts {
	return admission.Counts{State: admission.Overloaded, Since: 1, Reason: "hardly anything is served in time", Limit: 2.25, InFlight: 3,
		Rejected: [][2]uint64{{4, 5}, {6, 7}, {8, 9}}, TooLate: 10, OverLimit: 11, Overloads: 12}
}

// The line of the storm watch, but for its time and how long the state has lasted.
func TestGoldenStormLine(t *testing.T) {
	site, err := simwire.DecodeSettings([]byte(agenttest.SettingsText))
	if err != nil {
		t.Fatal(err)
	}
	policy, err := balancer.New(site.Balancer, 1)
	if err != nil {
		t.Fatal(err)
	}
	f, clock := goldenCounters(t), engine.NewClock()
	core := engine.New(policy, clock, f.pool, slog.New(slog.DiscardHandler))
	core.TrackLatency(site.Balancer.Classes)
	core.SetAdmission(stormy{})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); core.Run(ctx) }()
	log := &agenttest.LockedBuffer{}
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		logAdmission(ctx, core, clock, time.Hour, slog.New(slog.NewTextHandler(log, nil)))
	}()
	agenttest.Eventually(t, "a line", func() bool { return log.Count("\n") > 0 })
	stop()
	<-done
	<-logged
	line := regexp.MustCompile(`time=\S+`).ReplaceAllString(strings.SplitAfter(log.String(), "\n")[0], "time=TIME")
	golden.Equal(t, "agent/storm.log", []byte(regexp.MustCompile(`for=\S+`).ReplaceAllString(line, "for=TIME")))
}

// The line of a recovery, at a time that stands still: a fleet of three after a loss of power, one of which has answered.
func TestGoldenRecoveryLine(t *testing.T) {
	site, err := simwire.DecodeSettings([]byte(agenttest.SettingsText))
	if err != nil {
		t.Fatal(err)
	}
	policy, err := balancer.New(site.Balancer, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := 20 * time.Second
	clock := engine.ManualClock(&now)
	core := engine.New(policy, clock, goldenCounters(t).pool, slog.New(slog.DiscardHandler))
	core.TrackLatency(site.Balancer.Classes)
	var classes []recovery.Class
	for _, c := range site.Balancer.Classes {
		classes = append(classes, recovery.Class{Name: c.Name, Priority: c.Priority, LatencyObjective: c.LatencyObjective, Idempotent: c.Effect == balancer.Idempotent})
	}
	r := recovery.New(recovery.Options{Classes: classes, Agents: 2, ColdCapacityRatio: 0.32, WarmupTime: 8 * time.Second, ColdOverloadFactor: 3, MaxRetryAfter: time.Second}, nil)
	before := recovery.Baseline{ClassRates: []float64{40, 20, 10}, Utilization: 0.5}
	for i := range 3 {
		before.Servers = append(before.Servers, recovery.BaselineServer{ID: fmt.Sprint("s-", i), Cell: i, Ready: true, Capacity: 45})
	}
	r.Start(18*time.Second, before, "power")
	r.ObserveAttempt(19*time.Second, "s-1", true, false, 20, 0.8)
	core.SetRecovery(r, func() bool { return true }, func() {})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); core.Run(ctx) }()
	log := &agenttest.LockedBuffer{}
	k := &snapshotStore{options: RecoveryOptions{LogInterval: time.Hour}, core: core, log: slog.New(slog.NewTextHandler(log, nil))}
	said := make(chan struct{})
	go func() { defer close(said); k.logRecovery(ctx, clock) }()
	agenttest.Eventually(t, "a line", func() bool { return log.Count("\n") > 0 })
	stop()
	<-done
	<-said
	golden.Equal(t, "agent/recovery.log", []byte(regexp.MustCompile(`time=\S+`).ReplaceAllString(strings.SplitAfter(log.String(), "\n")[0], "time=TIME")))
}
