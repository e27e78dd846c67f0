package settings

import (
	"fmt"
	"net"
	"slices"
	"time"
)

// The values of Membership.Sources.
const (
	SourcePlatform = "platform"
	SourceXDS      = "xds"
	SourceFile     = "file"
)

// Membership is the section [membership]: the sources of the endpoint list.
type Membership struct {
	Sources   []string       `toml:"sources"`    // in order of preference
	FailAfter Duration       `toml:"fail_after"` // how long a lost source stays in use: the delay of a failover
	Hold      Duration       `toml:"hold"`       // how long a preferred source must be healthy before the failback to it
	KeepEmpty Duration       `toml:"keep_empty"` // how long a list that suddenly became empty is ignored
	File      MembershipFile `toml:"file"`
	XDS       XDS            `toml:"xds"`
}

// MembershipFile is the section [membership.file]: a file that is watched.
type MembershipFile struct {
	Path string   `toml:"path"`
	Poll Duration `toml:"poll"` // interval of polls
}

// XDS is the section [membership.xds]: a control plane.
type XDS struct {
	Server       string   `toml:"server"`            // host and port
	Node         string   `toml:"node"`              // id by which the control plane knows the agent; empty: its name
	NodeCluster  string   `toml:"node_cluster"`      // and the group that it belongs to
	Delta        bool     `toml:"delta"`             // the incremental variant of the protocol
	Clusters     []string `toml:"clusters"`          // whose endpoints are wanted; none: those that the control plane names
	Subset       int      `toml:"subset"`            // how many of those it names are taken; 0: all
	FirstFetch   Duration `toml:"first_fetch"`       // how long the first endpoints may take
	BackoffLeast Duration `toml:"backoff_least"`     // backoff before the second attempt to connect; it doubles
	BackoffMost  Duration `toml:"backoff_most"`      // longest backoff
	Keepalive    Duration `toml:"keepalive"`         // idle time after which the connection is pinged
	MaxMessage   int      `toml:"max_message_bytes"` // largest response
	LogEvery     Duration `toml:"log_every"`         // shortest interval of log lines on rejected updates
}

// DefaultMembership returns the section's defaults. Sources have none.
func DefaultMembership() Membership {
	return Membership{
		FailAfter: Duration(10 * time.Second),
		Hold:      Duration(30 * time.Second),
		File:      MembershipFile{Poll: Duration(200 * time.Millisecond)},
		XDS: XDS{Delta: true, FirstFetch: Duration(15 * time.Second), BackoffLeast: Duration(500 * time.Millisecond),
			BackoffMost: Duration(30 * time.Second), Keepalive: Duration(30 * time.Second), MaxMessage: 8 << 20,
			LogEvery: Duration(time.Minute)},
	}
}

// maxPollInterval makes a drain that a file announces known within the 500 ms after which the server must get no new request.
const maxPollInterval = 400 * time.Millisecond

func (m *Membership) check() (key string, err error) {
	if len(m.Sources) == 0 {
		return "sources", fmt.Errorf("no source; write the preferred first, such as [\"xds\", \"platform\"]")
	}
	for i, name := range m.Sources {
		if !slices.Contains([]string{SourcePlatform, SourceXDS, SourceFile}, name) {
			return "sources", fmt.Errorf("%q is no source; there are \"platform\", \"xds\" and \"file\"", name)
		}
		if slices.Contains(m.Sources[:i], name) {
			return "sources", fmt.Errorf("%q is named twice", name)
		}
	}
	if slices.Contains(m.Sources, SourceFile) && m.File.Path == "" {
		return "file.path", fmt.Errorf("no path of the file to watch")
	}
	if slices.Contains(m.Sources, SourceXDS) {
		if _, _, err := net.SplitHostPort(m.XDS.Server); err != nil {
			return "xds.server", fmt.Errorf("%q is no address; write host and port, such as \"127.0.0.1:18000\"", m.XDS.Server)
		}
		if m.XDS.Subset > 0 && (!m.XDS.Delta || len(m.XDS.Clusters) > 0) {
			return "xds.subset", fmt.Errorf("a subset is taken with delta = true, of the clusters that the control plane names")
		}
	}
	return checkBounds(
		countBounds{
			{"xds.subset", m.XDS.Subset, 0, 1 << 16},
			{"xds.max_message_bytes", m.XDS.MaxMessage, 1 << 10, 256 << 20},
		},
		durationBounds{
			{"fail_after", m.FailAfter, 0, 24 * time.Hour},
			{"hold", m.Hold, 0, 24 * time.Hour},
			{"keep_empty", m.KeepEmpty, 0, 24 * time.Hour},
			{"file.poll", m.File.Poll, time.Millisecond, maxPollInterval},
			{"xds.first_fetch", m.XDS.FirstFetch, 10 * time.Millisecond, time.Hour},
			{"xds.backoff_least", m.XDS.BackoffLeast, time.Millisecond, time.Minute},
			{"xds.backoff_most", m.XDS.BackoffMost, time.Duration(m.XDS.BackoffLeast), time.Hour},
			{"xds.keepalive", m.XDS.Keepalive, 10 * time.Second, time.Hour}, // gRPC takes no less
			{"xds.log_every", m.XDS.LogEvery, time.Second, time.Hour},
		})
}
