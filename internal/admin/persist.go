package admin

import (
	"context"
	"time"

	"appleledge/internal/generation"
)

// storeInterval is how soon what the watch does by itself is stored, and how often a failing disk is tried again.
const storeInterval = 250 * time.Millisecond

// Run stores the state whenever it has changed by itself, as by a rollback for harm, until the context ends. It returns when no
// write is under way.
func (c *ChangeManager) Run(ctx context.Context) {
	tick := time.NewTicker(storeInterval)
	defer tick.Stop()
	isFailing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		err := c.storeIfChanged(ctx)
		if failed := err != nil && ctx.Err() == nil; failed != isFailing {
			if isFailing = failed; failed {
				c.Log.Error("the state of the configuration can't be kept; a restart would bring an older one back", "error", err)
			} else {
				c.Log.Info("the state of the configuration is kept again")
			}
		}
	}
}

// storeIfChanged stores the state if it has changed since it was stored, or if that failed.
func (c *ChangeManager) storeIfChanged(ctx context.Context) error {
	c.changeMu.Lock()
	defer c.changeMu.Unlock()
	var revision uint64
	if err := c.Engine.WithGenerations(ctx, func(_ time.Duration, m *generation.Manager) { revision = m.StateRevision() }); err != nil {
		return err
	}
	c.mu.Lock()
	isStored := c.storedRevision == revision && c.storeErr == nil
	c.mu.Unlock()
	if isStored {
		return nil
	}
	return c.store(ctx)
}

// store stores the state as it is now. The caller holds changeMu.
func (c *ChangeManager) store(ctx context.Context) error {
	if c.Store == nil {
		return nil
	}
	var state *generation.State
	var revision uint64
	err := c.withManager(ctx, func(_ time.Duration, m *generation.Manager) error {
		state, revision = m.State(), m.StateRevision()
		return nil
	})
	if err != nil {
		return err
	}
	doc, err := c.EncodeState(state)
	if err == nil {
		err = c.Store.Save(doc)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeErr = err; err == nil {
		c.storedRevision = revision
	}
	return err
}
