package settings

import (
	"fmt"
	"net"
	"time"
)

// ExternalProcessor is the section [external_processor]: the downstream server for other proxies, package extproc.
type ExternalProcessor struct {
	Listen         string   `toml:"listen"`            // host and port
	MaxConnections int      `toml:"max_connections"`   // from proxies, open at once
	MaxStreams     int      `toml:"max_streams"`       // open on one connection
	MaxOpen        int      `toml:"max_open"`          // streams, and requests in flight, of all connections
	MaxMessage     int      `toml:"max_message_bytes"` // largest message from a proxy
	MaxSubset      int      `toml:"max_subset"`        // endpoints in a subset hint
	DecisionValid  Duration `toml:"decision_valid"`    // how long a decision may be used, at most
	FirstMessage   Duration `toml:"first_message"`     // timeout of a stream's first message
	KeepaliveTime  Duration `toml:"keepalive_time"`    // idle time after which a connection is pinged
	KeepaliveWait  Duration `toml:"keepalive_wait"`    // timeout of that ping
	Remember       Duration `toml:"remember"`          // how long outcomes of requests that may have run are cached
	RememberMost   int      `toml:"remember_most"`     // largest number of cached outcomes
	ModeOverride   bool     `toml:"mode_override"`     // ask proxies to send the ends of responses
	Health         bool     `toml:"health"`            // offer grpc.health.v1.Health
	Reflection     bool     `toml:"reflection"`        // offer grpc.reflection.v1.ServerReflection
}

// DefaultExternalProcessor returns the section's defaults. The address has none.
func DefaultExternalProcessor() ExternalProcessor {
	return ExternalProcessor{
		MaxConnections: 16,
		MaxStreams:     256,
		MaxOpen:        512,
		MaxMessage:     32 << 10,
		MaxSubset:      1024,
		DecisionValid:  Duration(400 * time.Millisecond),
		FirstMessage:   Duration(3 * time.Second),
		KeepaliveTime:  Duration(10 * time.Second),
		KeepaliveWait:  Duration(3 * time.Second),
		Remember:       Duration(10 * time.Second),
		RememberMost:   8192,
		ModeOverride:   true,
	}
}

// check returns the key that is wrong, and what is wrong with it.
func (e *ExternalProcessor) check() (key string, err error) {
	if _, _, err := net.SplitHostPort(e.Listen); err != nil {
		return "listen", fmt.Errorf("%q is no address; write host and port, such as \"127.0.0.1:9002\"", e.Listen)
	}
	return checkBounds(
		countBounds{
			{"max_connections", e.MaxConnections, 1, 1024},
			{"max_streams", e.MaxStreams, 1, 1 << 16},
			{"max_open", e.MaxOpen, 1, 1 << 20},
			{"max_message_bytes", e.MaxMessage, 1 << 10, 4 << 20},
			{"max_subset", e.MaxSubset, 1, 1 << 16},
			{"remember_most", e.RememberMost, 1, 1 << 20},
		},
		durationBounds{
			{"decision_valid", e.DecisionValid, time.Millisecond, maxDecisionValid},
			{"first_message", e.FirstMessage, 10 * time.Millisecond, time.Minute},
			{"keepalive_time", e.KeepaliveTime, time.Second, time.Hour}, // gRPC takes no less than a second
			{"keepalive_wait", e.KeepaliveWait, 10 * time.Millisecond, time.Minute},
			{"remember", e.Remember, 0, time.Hour},
		})
}

// maxDecisionValid is below the 500 ms after which a draining server must get no new request, by a margin for the way to
// the proxy.
const maxDecisionValid = 450 * time.Millisecond
