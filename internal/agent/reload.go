package agent

import (
	"context"
	"log/slog"
	"os"
	"strings"

	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/membership/platform"
	"appleledge/internal/platformconfig"
)

// Reloads says when the configuration is to be read again, and how.
type Reloads struct {
	Signals <-chan os.Signal
	Load    func() (Config, error)
}

// reload is what a new configuration changes in a running agent.
type reload struct {
	clock  engine.Clock
	core   *engine.Engine
	disco  *platform.Discovery
	terms  *platformconfig.Terms
	rules  *requesthead.ActiveRules
	keys   keys // of the file in force
	own    *sections
	peers  func() error // reads the keys of [peers] again; nil without the section
	counts reloadCounts
	log    *slog.Logger
}

// follow reads the configuration again at each signal and puts it in force. A file that can't be used changes nothing: the
// agent goes on with what it has.
func (r Reloads) follow(ctx context.Context, to *reload) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
		}
		if to.peers != nil {
			if err := to.peers(); err != nil {
				to.log.Error("the keys of [peers] are not reloaded, keeping the old ones", "error", err)
			}
		}
		fresh, err := r.Load()
		if err == nil {
			err = to.take(fresh)
		}
		if err != nil {
			to.counts.refused.Add(1)
			to.log.Error("configuration not reloaded, keeping the old one", "error", err)
			continue
		}
		to.counts.taken.Add(1)
	}
}

// take puts a configuration in force. The module hears of it before the first request comes under it.
func (r *reload) take(c Config) error {
	if err := c.keys.lacks(r.keys); err != nil {
		return err
	}
	tell, later, err := r.terms.Change(r.clock.Now(), c.Site)
	if err != nil {
		return err
	}
	r.keys = c.keys
	rules := r.terms.Rules()
	r.core.SetClassNames(tell.Classes)
	changed, misfit := r.own.tell(engine.SettingsChanged{ClassUpdate: tell, Version: rules.Version})
	r.core.Post(changed)
	r.rules.Replace(rules)
	r.disco.SetAddress(c.Discovery)
	var names []string
	for _, class := range tell.Classes {
		if !class.Retired {
			names = append(names, class.Name)
		}
	}
	r.log.Info("configuration reloaded", "discovery", c.Discovery, "settings", rules.Version, "classes", strings.Join(names, " "),
		"attempts", tell.MaxAttempts)
	if misfit != nil {
		r.log.Warn("a setting of the agent's own does not fit the classes any more", "error", misfit)
	}
	if len(later) > 0 {
		r.log.Warn("some settings have changed that take effect at the next start only", "settings", strings.Join(later, ", "))
	}
	return nil
}
