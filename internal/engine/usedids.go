package engine

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"appleledge/internal/balancer"
)

// An id is new with every request, so that one that comes again is a mistake of its client, or an attempt to have a request run twice. While a
// call is open its id is taken; behind its end, or when its client has left, nothing else would know of it.
const (
	usedIDRetention = 10 * time.Second // for which the id of a call is remembered at least, unless there are too many
	maxUsedIDs      = 1 << 14          // in each generation of usedIDs
)

// IDDigest stands for the id of a call. Different ids have different digests, but for chances that can be passed over.
type IDDigest uint64

// DigestOfID returns the digest of an id, which is the same in all processes.
func DigestOfID(id string) IDDigest {
	sum := sha256.Sum256([]byte(id))
	return IDDigest(binary.BigEndian.Uint64(sum[:]))
}

// IDClaims speaks with the other processes of the agent about the ids of calls that must not run twice.
type IDClaims interface {
	// IsShared reports whether there are other processes. It is called on the engine's goroutine and must not block.
	IsShared() bool
	// Claim tells the other processes that a call under the id is about to be sent, and reports whether none of them has used it. It blocks
	// for a bounded time, and is called from a goroutine of its own.
	Claim(ctx context.Context, id string) (isFree bool)
	// Release tells the other processes that a call whose id was claimed has not run. It blocks for a bounded time, and is called from a
	// goroutine of its own.
	Release(id string)
}

// SetIDClaims makes the engine ask other processes of the agent before it sends a call that must not run twice. It is called before Run.
func (e *Engine) SetIDClaims(c IDClaims) { e.idClaims = c }

// usedIDs remembers the ids of calls that may have run and must not run twice, here or by way of another process of the agent. Calls of external
// callers have a memory of their own.
//
// Ids are in two generations. The newer one takes what is added; when it is old or full it becomes the older one, whose ids are forgotten.
type usedIDs struct {
	newer, older map[IDDigest]struct{}
	begun        time.Duration // when newer began
}

func newUsedIDs() usedIDs { return usedIDs{newer: map[IDDigest]struct{}{}} }

// add remembers an id.
func (u *usedIDs) add(now time.Duration, id IDDigest) {
	u.expire(now)
	if len(u.newer) >= maxUsedIDs {
		u.startGeneration(now)
	}
	u.newer[id] = struct{}{}
}

// remove forgets an id.
func (u *usedIDs) remove(id IDDigest) {
	delete(u.newer, id)
	delete(u.older, id)
}

// contains reports whether an id is remembered.
func (u *usedIDs) contains(now time.Duration, id IDDigest) bool {
	u.expire(now)
	_, inNewer := u.newer[id]
	_, inOlder := u.older[id]
	return inNewer || inOlder
}

// all returns the ids that are remembered, in no order.
func (u *usedIDs) all(now time.Duration) []IDDigest {
	u.expire(now)
	ids := make([]IDDigest, 0, len(u.newer)+len(u.older))
	for id := range u.newer {
		ids = append(ids, id)
	}
	for id := range u.older {
		ids = append(ids, id)
	}
	return ids
}

// expire forgets the generations that are old.
func (u *usedIDs) expire(now time.Duration) {
	age := now - u.begun
	if age < usedIDRetention {
		return
	}
	u.startGeneration(now)
	if age >= 2*usedIDRetention { // none was added in the second half of that
		u.older = nil
	}
}

func (u *usedIDs) startGeneration(now time.Duration) {
	u.older, u.newer, u.begun = u.newer, map[IDDigest]struct{}{}, now
}

// mustRunOnce reports whether the call's id is to be remembered: a second call under it must not run beside or behind this one.
func (c *Call) mustRunOnce() bool { return c.external == nil && c.Effect != balancer.Idempotent }

// hasUsedID reports whether a new call has the id of another one that is open, or that may have run and must not run again.
func (e *Engine) hasUsedID(c *Call) bool {
	return e.calls[c.ID] != nil || c.mustRunOnce() && e.usedIDs.contains(e.clock.Now(), DigestOfID(c.ID))
}

// rememberID remembers the id of a call that has ended, if the call may have run and must not run again.
func (e *Engine) rememberID(c *Call) {
	if c.mustRunOnce() && c.mayHaveRunSince != 0 {
		e.usedIDs.add(e.clock.Now(), DigestOfID(c.ID))
	}
}

// claimID reports whether the call may go on at once. If not, it goes on when the other processes of the agent have answered.
func (e *Engine) claimID(c *Call) (goesOn bool) {
	if e.idClaims == nil || !c.mustRunOnce() || !e.idClaims.IsShared() {
		return true
	}
	e.calls[c.ID] = c // so that none of the others is told that the id is free
	e.attempts.Go(func() { e.Post(idClaimed{c, e.idClaims.Claim(e.ctx, c.ID)}) })
	return false
}

// idClaimed goes on with a call whose id no other process has used.
func (e *Engine) idClaimed(ev idClaimed) {
	c := ev.call
	c.isIDClaimed = ev.isFree
	switch {
	case c.closed.Load():
		e.releaseID(c)
		e.forget(c)
	case !ev.isFree:
		e.finish(c, Answer{Kind: Conflict, Reason: UnservedDuplicateID})
	default:
		delete(e.calls, c.ID) // submit enters it again
		e.passHooks(c)
	}
}

// releaseID tells the other processes that a call of this one has not run, if they were told of it.
func (e *Engine) releaseID(c *Call) {
	if c.isIDClaimed && c.mayHaveRunSince == 0 {
		c.isIDClaimed = false
		e.attempts.Go(func() { e.idClaims.Release(c.ID) })
	}
}

// UsedIDs returns the ids of the calls that may have run, or may run now or later, and must not run twice, for other processes of the agent.
func (e *Engine) UsedIDs(ctx context.Context) (ids []IDDigest, err error) {
	err = e.execute(ctx, func(now time.Duration) {
		ids = e.usedIDs.all(now)
		for id, c := range e.calls {
			if c.mustRunOnce() {
				ids = append(ids, DigestOfID(id))
				c.isIDClaimed = true
			}
		}
	})
	return ids, err
}

// ClaimIDForSibling remembers an id for another process of the agent, which is about to send a call under it, unless the id is used here. It
// reports whether it is.
func (e *Engine) ClaimIDForSibling(ctx context.Context, id string) (isUsed bool, err error) {
	err = e.execute(ctx, func(now time.Duration) {
		digest := DigestOfID(id)
		if isUsed = e.calls[id] != nil || e.usedIDs.contains(now, digest); !isUsed {
			e.usedIDs.add(now, digest)
		}
	})
	return isUsed, err
}

// ReleaseIDForSibling forgets an id that another process of the agent has claimed and not used.
func (e *Engine) ReleaseIDForSibling(ctx context.Context, id string) error {
	return e.execute(ctx, func(time.Duration) { e.usedIDs.remove(DigestOfID(id)) })
}

// learnUsedIDs takes the ids that another process of the agent has used.
func (e *Engine) learnUsedIDs(ids []IDDigest) {
	now := e.clock.Now()
	for _, id := range ids {
		e.usedIDs.add(now, id)
	}
}
