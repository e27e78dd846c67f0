package simwire

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"appleledge/internal/balancer"
)

// Site is the settings of an instance, for the balancer and for the agent around it.
type Site struct {
	Balancer              balancer.Settings
	ReportFields          []string      // names of the values of a load report, in order
	Tenants               []string      // names, indexed by the balancer's tenant numbers
	Zones                 []string      // names, indexed by the balancer's zone numbers
	ConnectTimeout        time.Duration // of a connection to a server
	ConnectionIdleTimeout time.Duration // idle time after which servers close a connection
	MaxInFlight           int           // requests in flight at once; 0: no limit
	MaxRetryAfter         time.Duration // longest Retry-After that clients respect
}

// DecodeSettings decodes the JSON settings object of an instance. Unknown keys are ignored.
func DecodeSettings(data []byte) (Site, error) {
	var boot bootInfo
	if err := json.Unmarshal(data, &boot); err != nil {
		return Site{}, err
	}
	set, err := boot.settings()
	site := Site{Balancer: set, ReportFields: boot.Report.Fields, Zones: boot.Zones,
		ConnectTimeout: time.Duration(boot.Ceilings.ConnectTimeoutNs), ConnectionIdleTimeout: time.Duration(boot.Ceilings.ConnIdleNs),
		MaxInFlight: boot.Ceilings.MostHeld, MaxRetryAfter: time.Duration(boot.Ceilings.MaxRetryAfterNs)}
	for _, t := range boot.Tenants {
		site.Tenants = append(site.Tenants, t.Name)
	}
	return site, err
}

// Differences names the settings in which other differs, except those that may change at run time: the classes, the number of
// attempts and whether requests may be hedged.
func (s Site) Differences(other Site) (names []string) {
	s.Balancer.Classes, s.Balancer.MaxAttempts, s.Balancer.AllowHedging = other.Balancer.Classes, other.Balancer.MaxAttempts, other.Balancer.AllowHedging
	for _, part := range []struct {
		name     string
		old, now any
	}{
		{"the module's", s.Balancer, other.Balancer},
		{"report fields", s.ReportFields, other.ReportFields},
		{"tenants", s.Tenants, other.Tenants},
		{"zones", s.Zones, other.Zones},
		{"connect time-out", s.ConnectTimeout, other.ConnectTimeout},
		{"idle limit", s.ConnectionIdleTimeout, other.ConnectionIdleTimeout},
		{"requests held", s.MaxInFlight, other.MaxInFlight},
		{"come-back time", s.MaxRetryAfter, other.MaxRetryAfter},
	} {
		if !reflect.DeepEqual(part.old, part.now) {
			names = append(names, part.name)
		}
	}
	return names
}

// bootInfo is the settings object of an instance, as far as it is used. Its fields are the keys on the wire and appear in
// the decoder's errors: they must not be renamed.
type bootInfo struct {
	Balancers int
	Classes   []struct {
		Name, Effect, Group         string
		AimNs, DeadlineNs, WindowNs int64
		Worth                       float64
	}
	Ceilings struct {
		ParallelTries, RetryAfter bool
		MaxRetryAfterNs           int64
		ConnectTimeoutNs          int64
		ConnIdleNs                int64
		MostTries, MostHeld       int
	}
	Discovery string
	Domain    struct{ WarmKeys bool }
	Prices    struct{ CrossZone float64 }
	Report    struct{ Fields []string }
	Rules     struct {
		ColdFrom, OverloadFactor float64
		ColdNs, MustAskInNs      int64
	}
	Tenants []struct {
		Name    string
		Portion float64
	}
	Zones          []string
	OverShareWorth float64
	TickNs         int64
	Me             int
	WeightKind     string
	Zone           int
}

var (
	effectNames     = []string{balancer.Idempotent: "repeatable", balancer.IdempotentByKey: "by_key", balancer.NonIdempotent: "once"}
	dedupScopeNames = []string{balancer.DedupFleet: "all", balancer.DedupZone: "zone", balancer.DedupCell: "cell"}
)

// settings converts the object to the balancer's settings.
func (b *bootInfo) settings() (balancer.Settings, error) {
	s := balancer.Settings{
		Balancers:              b.Balancers,
		Index:                  b.Me,
		OverQuotaPriorityRatio: b.OverShareWorth,
		MaxPollInterval:        time.Duration(b.Rules.MustAskInNs),
		Tick:                   time.Duration(b.TickNs),
		Zone:                   b.Zone,
		CrossZoneCost:          b.Prices.CrossZone,
		UseListWeights:         b.WeightKind == "nominal" || b.WeightKind == "rough",
		Subscribe:              b.Discovery == "subscribe",
		KeyAffinity:            b.Domain.WarmKeys,
		MaxAttempts:            b.Ceilings.MostTries,
		AllowHedging:           b.Ceilings.ParallelTries,
		SlowStartInitialRatio:  b.Rules.ColdFrom,
		SlowStartDuration:      time.Duration(b.Rules.ColdNs),
		WarmingOverloadRatio:   b.Rules.OverloadFactor,
	}
	for _, t := range b.Tenants {
		s.Quotas = append(s.Quotas, t.Portion)
	}
	if b.Ceilings.RetryAfter {
		s.MaxRetryAfter = time.Duration(b.Ceilings.MaxRetryAfterNs)
	}
	for _, c := range b.Classes {
		effect, group := slices.Index(effectNames, c.Effect), slices.Index(dedupScopeNames, c.Group)
		if effect < 0 {
			return s, fmt.Errorf("class %q has the unknown Effect %q", c.Name, c.Effect)
		}
		if group < 0 && c.Group != "" {
			return s, fmt.Errorf("class %q has the unknown Group %q", c.Name, c.Group)
		}
		s.Classes = append(s.Classes, balancer.Class{Name: c.Name, Effect: balancer.Effect(effect),
			DedupScope: dedupScope(balancer.Effect(effect), group), DedupWindow: time.Duration(c.WindowNs), LatencyObjective: time.Duration(c.AimNs),
			Deadline: time.Duration(c.DeadlineNs), Priority: c.Worth})
	}
	return s, nil
}

// dedupScope returns where repeats of a class's requests are dropped; group is below 0 where that is not stated. Of a class by key it is the
// narrowest scope then: a wider one lets repeats run that nobody drops.
func dedupScope(effect balancer.Effect, group int) balancer.DedupScope {
	switch {
	case group >= 0:
		return balancer.DedupScope(group)
	case effect == balancer.IdempotentByKey:
		return balancer.DedupCell
	}
	return balancer.DedupFleet
}
