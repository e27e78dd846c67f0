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

// Reloads tells when the configuration has to be read again, and how.
type Reloads struct {
	Signals <-chan os.Signal
	Load    func() (Config, error)
}

// reloader puts a new configuration in force in a running agent.
type reloader struct {
	clock      engine.Clock
	core       *engine.Engine
	discovery  *platform.Discovery
	settings   *platformconfig.Settings
	rules      *requesthead.ActiveRules
	statedKeys statedKeys // of the file in force
	classUsers *classUsers
	reloadKeys func() error // reads the keys of [peers] again; nil without the section
	counts     reloadCounts
	log        *slog.Logger
}

// openReloads prepares what a new configuration changes in the running agent.
func (a *assembly) openReloads() error {
	a.engine.SetClassNames(a.cfg.Site.Balancer.Classes)
	a.reloader = &reloader{clock: a.clock, core: a.engine, discovery: a.discovery, settings: a.settings, rules: a.rules,
		statedKeys: a.cfg.statedKeys, classUsers: a.classUsers, log: a.log}
	if a.gossip != nil {
		a.reloader.reloadKeys = func() error { return a.gossip.ReloadKeys(a.features.Gossip.KeyFile) }
	}
	a.components.add(untilAnswered, func(ctx context.Context) { a.reloads.follow(ctx, a.reloader) })
	return nil
}

// follow reads the configuration again at each signal and puts it in force. A file that can't be used changes nothing: the
// agent goes on with what it has.
func (r Reloads) follow(ctx context.Context, reloader *reloader) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
		}
		if reloader.reloadKeys != nil {
			if err := reloader.reloadKeys(); err != nil {
				reloader.log.Error("the keys of [peers] are not reloaded, keeping the old ones", "error", err)
			}
		}
		config, err := r.Load()
		if err == nil {
			err = reloader.apply(config)
		}
		if err != nil {
			reloader.counts.rejected.Add(1)
			reloader.log.Error("configuration not reloaded, keeping the old one", "error", err)
			continue
		}
		reloader.counts.applied.Add(1)
	}
}

// apply puts a configuration in force. The engine gets the settings before the first request is checked by them.
func (r *reloader) apply(c Config) error {
	if err := c.statedKeys.checkStates(r.statedKeys); err != nil {
		return err
	}
	update, later, err := r.settings.Update(r.clock.Now(), c.Site)
	if err != nil {
		return err
	}
	r.statedKeys = c.statedKeys
	rules := r.settings.RequestRules()
	r.core.SetClassNames(update.Classes)
	changed, misfit := r.classUsers.update(engine.SettingsChanged{ClassUpdate: update, Version: rules.Version})
	r.core.Post(changed)
	r.rules.Replace(rules)
	r.discovery.SetAddress(c.Discovery)
	var names []string
	for _, class := range update.Classes {
		if !class.Retired {
			names = append(names, class.Name)
		}
	}
	r.log.Info("configuration reloaded", "discovery", c.Discovery, "settings", rules.Version, "classes", strings.Join(names, " "),
		"attempts", update.MaxAttempts)
	if misfit != nil {
		r.log.Warn(classMisfitMessage, "error", misfit)
	}
	if len(later) > 0 {
		r.log.Warn("some settings have changed that take effect at the next start only", "settings", strings.Join(later, ", "))
	}
	return nil
}
