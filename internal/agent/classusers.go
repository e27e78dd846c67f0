package agent

import (
	"sync/atomic"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/generation"
	"appleledge/internal/simwire"
)

// classUsers are the features that depend on the platform's request classes, which may change at a reload.
type classUsers struct {
	site              simwire.Site
	coalescingOptions func([]balancer.Class) (CoalescingOptions, error) // nil: none is joined
	coalescing        *coalescing                                       // nil: likewise
	current           atomic.Pointer[generation.Names]
}

func newClassUsers(site simwire.Site, joins func([]balancer.Class) (CoalescingOptions, error)) *classUsers {
	s := &classUsers{site: site, coalescingOptions: joins}
	names := platformNames(site, site.Balancer.Classes)
	s.current.Store(&names)
	return s
}

// names returns the platform's names in force.
func (s *classUsers) names() generation.Names { return *s.current.Load() }

// update adds to the event what the features have to know of changed classes. The error names a setting of the agent that no
// longer fits them, and what is not done for that reason.
func (s *classUsers) update(r engine.SettingsChanged) (engine.SettingsChanged, error) {
	r.Names = platformNames(s.site, r.Classes)
	s.current.Store(&r.Names)
	r.Admission = admissionClasses(r.Classes)
	if s.coalescingOptions == nil {
		return r, nil
	}
	set, err := s.coalescingOptions(r.Classes)
	r.Coalescing = set.Groups.Classes
	s.coalescing.downstream.Classes.Store(coalescedClasses(r.Coalescing))
	return r, err
}
