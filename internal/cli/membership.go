package cli

import (
	"log/slog"
	"time"

	"appleledge/internal/agent"
	"appleledge/internal/engine"
	"appleledge/internal/membership"
	"appleledge/internal/membership/file"
	"appleledge/internal/membership/listing"
	"appleledge/internal/settings"
	"appleledge/internal/simwire"
)

// Membership returns what the section [membership] switches on. others makes a source of a name that this package does not
// know, for commands with further kinds of sources; its error is returned.
func Membership(f settings.File, others func(name string) (agent.Source, error)) (with agent.Features, err error) {
	m := f.Membership
	if m == nil {
		return with, nil
	}
	with.Membership = membership.Options{FailoverDelay: time.Duration(m.FailAfter), FailbackDelay: time.Duration(m.Hold),
		EmptyListGracePeriod: time.Duration(m.KeepEmpty)}
	for _, name := range m.Sources {
		source := agent.Source{Name: name}
		switch name {
		case settings.SourcePlatform:
		case settings.SourceFile:
			source.Open = func(c engine.Clock, site simwire.Site, log *slog.Logger) membership.Source {
				return &file.Source{Path: m.File.Path, PollInterval: time.Duration(m.File.Poll), Log: log,
					Decoder: listing.Decoder{Zones: site.Zones, Clock: c}}
			}
		default:
			if source, err = others(name); err != nil {
				return with, err
			}
		}
		with.Sources = append(with.Sources, source)
	}
	return with, nil
}
