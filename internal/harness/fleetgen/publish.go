package fleetgen

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/proto"

	"appleledge/internal/emulator"
	"appleledge/internal/harness/controlplane"
)

// kind is that of all machines.
const kind = "m1"

func (s Server) entry() emulator.Entry {
	state := "Ready"
	if s.Draining {
		state = "Terminating"
	}
	return emulator.Entry{ID: s.ID, Addr: fmt.Sprintf("%s:%d", s.Host, s.Port), Zone: s.Zone, Kind: kind, Cell: s.Cell, State: state,
		Weight: float64(s.Weight), StartedMS: s.StartedMS}
}

// Platform tells a fleet by the platform's list.
type Platform struct{ Discovery *emulator.Discovery }

// Publish tells the changes as one version.
func (p Platform) Publish(changed []Server, gone []string) error {
	entries := make([]emulator.Entry, 0, len(changed)+len(gone))
	for _, s := range changed {
		entries = append(entries, s.entry())
	}
	for _, id := range gone {
		entries = append(entries, emulator.Entry{ID: id, State: "Gone"})
	}
	p.Discovery.Set(entries...)
	return nil
}

// File tells a fleet by a file that is replaced as a whole.
type File struct {
	Path string
	have map[string]Server
	ids  []string
}

// Publish writes the whole list anew.
func (f *File) Publish(changed []Server, gone []string) error {
	if f.have == nil {
		f.have = map[string]Server{}
	}
	for _, s := range changed {
		if _, known := f.have[s.ID]; !known {
			f.ids = append(f.ids, s.ID)
		}
		f.have[s.ID] = s
	}
	for _, id := range gone {
		delete(f.have, id)
	}
	list := struct {
		Full    bool             `json:"full"`
		Servers []emulator.Entry `json:"servers"`
	}{true, []emulator.Entry{}}
	left := f.ids[:0]
	for _, id := range f.ids {
		if s, there := f.have[id]; there {
			left = append(left, id)
			list.Servers = append(list.Servers, s.entry())
		}
	}
	f.ids = left
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.Path+".next", text, 0o644); err != nil {
		return err
	}
	return os.Rename(f.Path+".next", f.Path)
}

// ControlPlane tells a fleet by xDS, split over so many clusters of the name, of which each change touches few.
type ControlPlane struct {
	Plane  *controlplane.Plane
	Name   string
	Shards int

	shards map[string][]Server
	of     map[string]string // cluster of a server
}

// Publish tells the clusters that have changed.
func (c *ControlPlane) Publish(changed []Server, gone []string) error {
	if c.shards == nil {
		c.shards, c.of = map[string][]Server{}, map[string]string{}
		var clusters []proto.Message
		for i := range c.Shards {
			clusters = append(clusters, controlplane.Cluster(c.cluster(i)))
		}
		c.Plane.Set(clusters...)
	}
	touched := map[string]bool{}
	for _, s := range changed {
		name := c.cluster(int(xxhash.Sum64String(s.ID) % uint64(c.Shards)))
		c.shards[name] = replaced(c.shards[name], s.ID, &s)
		c.of[s.ID], touched[name] = name, true
	}
	for _, id := range gone {
		name := c.of[id]
		c.shards[name] = replaced(c.shards[name], id, nil)
		touched[name] = true
		delete(c.of, id)
	}
	var assignments []proto.Message
	for name := range touched {
		assignments = append(assignments, c.assignment(name))
	}
	c.Plane.Set(assignments...)
	return nil
}

func (c *ControlPlane) cluster(i int) string {
	if c.Shards == 1 {
		return c.Name
	}
	return fmt.Sprintf("%s/%d", c.Name, i)
}

func replaced(in []Server, id string, by *Server) []Server {
	for i := range in {
		if in[i].ID != id {
			continue
		}
		if by == nil {
			return append(in[:i], in[i+1:]...)
		}
		in[i] = *by
		return in
	}
	if by != nil {
		in = append(in, *by)
	}
	return in
}

func (c *ControlPlane) assignment(name string) proto.Message {
	var endpoints []controlplane.Endpoint
	zone := ""
	for _, s := range c.shards[name] {
		e := controlplane.Endpoint{ID: s.ID, Host: s.Host, Port: s.Port, Weight: s.Weight, Health: corev3.HealthStatus_HEALTHY, Kind: kind, Cell: s.Cell,
			StartedMS: s.StartedMS}
		if s.Draining {
			e.Health = corev3.HealthStatus_DRAINING
		}
		endpoints, zone = append(endpoints, e), s.Zone
	}
	return controlplane.Assignment(name, zone, endpoints...)
}
