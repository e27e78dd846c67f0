package settings

import (
	"fmt"
	"net"
	"slices"
	"time"
)

// Names of the sources of members.
const (
	SourcePlatform = "platform"
	SourceXDS      = "xds"
	SourceFile     = "file"
)

// Membership is the section [membership]: who says which servers there are.
type Membership struct {
	Sources   []string       `toml:"sources"`    // the preferred first
	FailAfter Duration       `toml:"fail_after"` // how long one that is lost goes on counting
	Hold      Duration       `toml:"hold"`       // how long a preferred one has to hold before it counts again
	KeepEmpty Duration       `toml:"keep_empty"` // how long a list that is empty all at once is not believed
	File      MembershipFile `toml:"file"`
	XDS       XDS            `toml:"xds"`
}

// MembershipFile is the section [membership.file]: a file that is watched.
type MembershipFile struct {
	Path string   `toml:"path"`
	Poll Duration `toml:"poll"` // how often it is looked at
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
	BackoffLeast Duration `toml:"backoff_least"`     // before the second try to connect; it doubles
	BackoffMost  Duration `toml:"backoff_most"`      // and is no longer than this
	Keepalive    Duration `toml:"keepalive"`         // of silence, after which the connection is pinged
	MaxMessage   int      `toml:"max_message_bytes"` // of a response
	LogEvery     Duration `toml:"log_every"`         // between two lines on what is refused
}

// DefaultMembership is the section with no source set.
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

// maxPollInterval keeps a drain that a file tells under the 500 ms after which nothing new may go to the server.
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
