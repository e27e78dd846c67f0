package admin

import (
	"errors"
	"fmt"
	"time"
)

const (
	minLockDuration = time.Second
	maxLockDuration = 15 * time.Minute // after which the holder has to ask anew
)

// lockHold is the lock in an operator's hands. It ends by time, so that an operator who forgets it does not keep others out for
// good.
type lockHold struct {
	holder string
	until  time.Time
}

// Lock gives the lock to an operator for a time, which is bounded, or prolongs it. The error has KindRejected where another operator
// holds it.
func (c *ChangeManager) Lock(holder string, duration time.Duration) (*Lock, error) {
	if holder == "" {
		return nil, withKind(KindBadRequest, errors.New("a lock needs a name, by which others see who holds it"))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkLock(holder); err != nil {
		return nil, err
	}
	c.lock = &lockHold{holder, c.Now().Add(min(max(duration, minLockDuration), maxLockDuration))}
	return c.currentLock(), nil
}

// Unlock releases the lock if this operator holds it.
func (c *ChangeManager) Unlock(holder string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lock != nil && c.lock.holder == holder {
		c.lock = nil
	}
}

// currentLock returns the lock, or nil if nobody holds it. The caller holds mu.
func (c *ChangeManager) currentLock() *Lock {
	if c.lock == nil || !c.Now().Before(c.lock.until) {
		return nil
	}
	return &Lock{Holder: c.lock.holder, SecondsLeft: c.lock.until.Sub(c.Now()).Seconds()}
}

// checkLock returns an error if an operator other than actor holds the lock. The caller holds mu.
func (c *ChangeManager) checkLock(actor string) error {
	if l := c.currentLock(); l != nil && l.Holder != actor {
		return withKind(KindRejected, fmt.Errorf("%s holds the lock for %.0f s more", l.Holder, l.SecondsLeft))
	}
	return nil
}

// mayChange returns an error if an operator other than actor holds the lock.
func (c *ChangeManager) mayChange(actor string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkLock(actor)
}
