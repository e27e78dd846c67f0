package agent

import (
	"sync/atomic"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/generation"
	"appleledge/internal/simwire"
)

// sections are the parts that the agent's own settings switch on and that know of the platform's classes, as these change.
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

// names are the platform's names as they are now.
func (s *classUsers) names() generation.Names { return *s.current.Load() }

// tell adds what the sections have to hear of classes that change. The error names a setting that does not fit them any more:
// it says what is not done for that.
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
