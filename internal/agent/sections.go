package agent

import (
	"sync/atomic"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/generation"
	"appleledge/internal/simwire"
)

// sections are the parts that the agent's own settings switch on and that know of the platform's classes, as these change.
type sections struct {
	site    simwire.Site
	joins   func([]balancer.Class) (Joins, error) // nil: none is joined
	atFront *joining                              // nil: likewise
	current atomic.Pointer[generation.Names]
}

func newSections(site simwire.Site, joins func([]balancer.Class) (Joins, error)) *sections {
	s := &sections{site: site, joins: joins}
	names := namesOf(site, site.Balancer.Classes)
	s.current.Store(&names)
	return s
}

// names are the platform's names as they are now.
func (s *sections) names() generation.Names { return *s.current.Load() }

// tell adds what the sections have to hear of classes that change. The error names a setting that does not fit them any more:
// it says what is not done for that.
func (s *sections) tell(r engine.SettingsChanged) (engine.SettingsChanged, error) {
	r.Names = namesOf(s.site, r.Classes)
	s.current.Store(&r.Names)
	r.Admission = stormClasses(r.Classes)
	if s.joins == nil {
		return r, nil
	}
	set, err := s.joins(r.Classes)
	r.Coalescing = set.Options.Classes
	s.atFront.atFront.Classes.Store(joined(r.Coalescing))
	return r, err
}
