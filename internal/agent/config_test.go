package agent

import (
	"strings"
	"testing"
	"time"
)

func TestConfig(t *testing.T) {
	cfg, err := parseConfig(configText("127.0.0.1:8500", listText(41, true, entryText("s-1", "127.0.0.1:1", "Ready", 0))), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Name != "n0" || cfg.Listen != "127.0.0.1:0" || cfg.Discovery != "127.0.0.1:8500" || cfg.Seed != 0x8c1f30d27a5be964 ||
		cfg.Cores != 1 || cfg.MemoryMB != 192 || cfg.Sockets != 1024 || cfg.cachedList.Version != 41 || len(cfg.cachedList.Servers) != 1 {
		t.Errorf("%+v", cfg)
	}
	if s := cfg.Site; s.ConnectionIdleTimeout != 15*time.Second || s.ConnectTimeout != 5*time.Second || s.MaxInFlight != 1000 ||
		s.Balancer.MaxRetryAfter != time.Second || strings.Join(s.ReportFields, " ") != "util qps eps" ||
		strings.Join(s.Tenants, " ") != "glasgow-airport lerwick-port" || len(s.Balancer.Classes) != 3 {
		t.Errorf("%+v", s)
	}
}

func TestEnvironmentGoesFirst(t *testing.T) {
	env := map[string]string{"PROXY_NAME": "n7", "PROXY_LISTEN": "127.0.0.1:9", "PROXY_DISCOVERY": "127.0.0.1:10"}
	cfg, err := parseConfig(configText("127.0.0.1:8500", "null"), func(name string) string { return env[name] })
	if err != nil || cfg.Name != "n7" || cfg.Listen != "127.0.0.1:9" || cfg.Discovery != "127.0.0.1:10" {
		t.Errorf("%+v, %v", cfg, err)
	}
}

func TestBadConfigIsOnePlainLine(t *testing.T) {
	good := string(configText("127.0.0.1:8500", "null"))
	for name, text := range map[string]string{
		"JSON":      good[1:],
		"listen":    strings.Replace(good, "127.0.0.1:0", "nowhere", 1),
		"discovery": strings.Replace(good, "127.0.0.1:8500", "nowhere", 1),
		"seed":      strings.Replace(good, "8c1f", "zzzz", 1),
		"settings":  strings.Replace(good, "settings", "sittings", 1),
		"effect":    strings.Replace(good, "by_key", "by_luck", 1),
		"idle":      strings.Replace(good, "ConnIdleNs", "ConnIdle", 1),
		"known":     strings.Replace(good, "null", "7", 1),
	} {
		if _, err := parseConfig([]byte(text), noEnv); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := LoadConfig(noEnv); err == nil {
		t.Error("no PROXY_CONFIG is no error")
	}
}
