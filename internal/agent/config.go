package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"appleledge/internal/hotrestart"
	"appleledge/internal/membership/listing"
	"appleledge/internal/operator"
	"appleledge/internal/simwire"
)

// Config is the platform's configuration of an agent.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Discovery string // host and port
	Operator  string // where operators call; empty: nowhere
	Seed      uint64 // for random numbers
	Cores     float64
	MemoryMB  int
	Sockets   int // file descriptors that the process may hold
	Site      simwire.Site

	PeerListen   string   // where other agents' datagrams come; empty: nowhere
	Peers        []string // all agents' addresses, by number
	AllowsGossip bool     // the platform lets agents send each other datagrams

	cachedList            listing.List
	statedKeys            statedKeys // that the file states
	drainAcceptDuration   time.Duration
	servesKeptConnections bool // kept connections are served through a drain
}

// configFile is the form of the file that PROXY_CONFIG names. Its untagged fields are keys of the file: a renamed field needs a tag.
type configFile struct {
	Name, Listen, Discovery, Operator, Seed string
	Limits                                  struct {
		Cores    float64
		MemoryMB int `json:"memory_mb"`
		Sockets  int
	}
	Known    json.RawMessage
	Settings json.RawMessage

	PeerListen string `json:"peer_listen"`
	Peers      []string
}

// Limits that hold where the configuration states none.
const (
	defaultSockets  = 1024
	defaultMemoryMB = 192
)

// LoadConfig reads the configuration that the environment points to.
func LoadConfig(getenv func(string) string) (Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return Config{}, errors.New("PROXY_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("reading the configuration: %w", err)
	}
	cfg, err := parseConfig(data, getenv)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return cfg, nil
}

// ReloadConfig reads the file again. It has been replaced since the process started and the environment has not, so
// that the file's address of discovery goes first.
func ReloadConfig(getenv func(string) string) (Config, error) {
	return LoadConfig(func(variable string) string {
		if variable == "PROXY_DISCOVERY" {
			return ""
		}
		return getenv(variable)
	})
}

// parseConfig decodes and checks the file's text. Variables that are set go before it.
func parseConfig(data []byte, getenv func(string) string) (cfg Config, err error) {
	var f configFile
	if err := json.Unmarshal(data, &f); err != nil {
		return cfg, err
	}
	if cfg.statedKeys, err = parseStatedKeys(data); err != nil {
		return cfg, err
	}
	prefer := func(variable, text string) string {
		if v := getenv(variable); v != "" {
			return v
		}
		return text
	}
	cfg = Config{statedKeys: cfg.statedKeys, Name: prefer("PROXY_NAME", f.Name), Listen: prefer("PROXY_LISTEN", f.Listen),
		Discovery: prefer("PROXY_DISCOVERY", f.Discovery), Operator: prefer("PROXY_OPERATOR", f.Operator), Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB,
		Sockets: f.Limits.Sockets, drainAcceptDuration: drainAcceptDuration, servesKeptConnections: true}
	if cfg.Sockets <= 0 {
		cfg.Sockets = defaultSockets
	}
	if cfg.MemoryMB <= 0 {
		cfg.MemoryMB = defaultMemoryMB
	}
	if _, _, err := net.SplitHostPort(cfg.Listen); err != nil {
		return cfg, fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(cfg.Discovery); err != nil {
		return cfg, fmt.Errorf("discovery: %w", err)
	}
	if _, _, err := net.SplitHostPort(cfg.Operator); err != nil && cfg.Operator != "" {
		return cfg, fmt.Errorf("operator: %w", err)
	}
	if cfg.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return cfg, fmt.Errorf("seed: %w", err)
	}
	if cfg.Site, err = decodeSite(f.Settings); err != nil {
		return cfg, fmt.Errorf("settings: %w", err)
	}
	var may struct{ Ceilings struct{ Peers bool } }
	if err := json.Unmarshal(f.Settings, &may); err != nil {
		return cfg, fmt.Errorf("settings: %w", err)
	}
	cfg.PeerListen, cfg.Peers, cfg.AllowsGossip = f.PeerListen, f.Peers, may.Ceilings.Peers
	if len(f.Known) > 0 {
		if cfg.cachedList, err = listing.Parse(f.Known); err != nil {
			return cfg, fmt.Errorf("known: %w", err)
		}
	}
	return cfg, nil
}

// decodeSite reads the settings and checks those that the agent, rather than the balancer, depends on.
func decodeSite(data []byte) (simwire.Site, error) {
	if len(data) == 0 {
		return simwire.Site{}, errors.New("missing")
	}
	site, err := simwire.DecodeSettings(data)
	if err != nil {
		return site, err
	}
	if site.ConnectTimeout <= 0 || site.ConnectionIdleTimeout <= 0 {
		return site, errors.New("the connect time-out and the idle limit must be above 0")
	}
	// On sockets any refusal may carry Retry-After, also where the simulator's clients are given none.
	site.Balancer.MaxRetryAfter = site.MaxRetryAfter
	return site, nil
}

// operatorDescriptors returns how many file descriptors the operators' calls and hot restarts need.
func (c Config) operatorDescriptors() int {
	if c.Operator == "" {
		return 0
	}
	return operator.MaxDescriptors + hotrestart.MaxDescriptors
}
