package balancer

import "testing"

func TestInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"classes":  func(s *Settings) { s.Classes = nil },
		"aim":      func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"window":   func(s *Settings) { s.Classes[2].DedupWindow = 0 },
		"attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"cold":     func(s *Settings) { s.SlowStartInitialRatio = 0 },
		"shares":   func(s *Settings) { s.Quotas = []float64{2} },
		"over":     func(s *Settings) { s.OverQuotaPriorityRatio = 2 },
		"balancer": func(s *Settings) { s.Balancers = 0 },
		"ask":      func(s *Settings) { s.MaxPollInterval = -1 },
		"overload": func(s *Settings) { s.WarmingOverloadRatio = -1 },
	} {
		set := testSettings()
		spoil(&set)
		if _, err := New(set, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
