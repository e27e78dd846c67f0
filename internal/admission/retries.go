package admission

import (
	"time"
)

// Retries.
const (
	retryBudgetRatio   = 0.2 // retries for each first attempt that are admitted while the state is not Normal (as Finagle's retry budget)
	maxRetryBudget     = 10
	retryMemoryFactor  = 10 // longest Retry-After, or latency objectives, for which an unserved request is remembered
	maxExpectedRetries = 20 // of one key

	minRetryAfterRatio           = 0.5 // of MaxRetryAfter
	recoveringMinRetryAfterRatio = 0.25
)

// expectedRetry is what is known of a request that was not served and may come again.
type expectedRetry struct {
	count     int           // so many retries are expected
	notBefore time.Duration // the end of its Retry-After
}

// classifyRetry reports whether the request is a retry, as it says or as one is expected, and whether it comes no sooner than its
// Retry-After allows. It sets MayHaveRun where an earlier attempt may have run. One unserved request explains one retry, or the many clients that
// send the same popular form would be taken for retries of the few that were rejected.
func (c *Controller) classifyRetry(now time.Duration, r *Request) (isRetry, isPunctual bool) {
	if r.Key == "" {
		return r.IsRetry, true
	}
	_, ran := c.mayHaveRun.Get(now, r.Key)
	r.MayHaveRun = r.MayHaveRun || ran
	expected, isKnown := c.expectedRetries.Get(now, r.Key)
	if !isKnown || expected.count == 0 {
		return r.IsRetry, true
	}
	expected.count--
	return true, now >= expected.notBefore
}

// expectRetry notes that a request was not served, and may come again after its Retry-After.
func (c *Controller) expectRetry(now time.Duration, key string, class int, retryAfter time.Duration, mayRun bool) {
	if key == "" {
		return
	}
	expected, isKnown := c.expectedRetries.Get(now, key)
	if !isKnown {
		expected = &expectedRetry{}
	}
	expected.count, expected.notBefore = min(expected.count+1, maxExpectedRetries), now+retryAfter
	until := now + retryMemoryFactor*max(c.options.MaxRetryAfter, c.options.Classes[class].LatencyObjective)
	c.expectedRetries.Put(now, key, expected, until)
	if mayRun {
		c.mayHaveRun.Put(now, key, struct{}{}, until)
	}
}

// reject rejects a request and draws its Retry-After.
func (c *Controller) reject(now time.Duration, r Request, isRetry, isTooLate bool) Rejection {
	c.rejected++
	kind := 0
	if isRetry {
		kind = 1
	}
	c.counts.Rejected[r.Class][kind]++
	if isTooLate {
		c.counts.TooLate++
	}
	retryAfter := c.drawRetryAfter()
	c.expectRetry(now, r.Key, r.Class, retryAfter, false)
	return Rejection{RetryAfter: retryAfter, Limit: int(c.limit), IsRetry: isRetry}
}

// drawRetryAfter draws a Retry-After: long in an overload, and never the same for all, or they would come back together.
func (c *Controller) drawRetryAfter() time.Duration {
	ratio := minRetryAfterRatio
	if c.state == Recovering {
		ratio = recoveringMinRetryAfterRatio
	}
	return time.Duration(float64(c.options.MaxRetryAfter) * (ratio + (1-ratio)*c.rng.Float64()))
}
