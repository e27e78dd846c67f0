package agent

import (
	"context"
	"log/slog"
	"os"
	"reflect"

	"appleledge/internal/membership/platform"
)

// Reloads says when the configuration is to be read again, and how.
type Reloads struct {
	Signals <-chan os.Signal
	Load    func() (Config, error)
}

// follow reads the configuration again at each signal and points discovery to where it says. A file that can't be
// used changes nothing: the agent goes on with what it has.
func (r Reloads) follow(ctx context.Context, cfg Config, d *platform.Discovery, counts *reloadCounts, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
		}
		fresh, err := r.Load()
		if err != nil {
			counts.refused.Add(1)
			log.Error("configuration not reloaded, keeping the old one", "error", err)
			continue
		}
		counts.taken.Add(1)
		log.Info("configuration reloaded", "discovery", fresh.Discovery)
		if !reflect.DeepEqual(fresh.Site, cfg.Site) {
			log.Warn("settings have changed, which takes effect at the next start only")
		}
		d.Move(fresh.Discovery)
	}
}
