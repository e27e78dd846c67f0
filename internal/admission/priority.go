package admission

import (
	"time"
)

// Shares of the limit that kinds of requests may fill. They multiply.
const (
	classShareStep     = 0.75 // of what the next higher class may fill
	punctualRetryShare = 0.9  // for a retry that comes after its Retry-After, or had none
	earlyRetryShare    = 0.7  // for one that comes before
	overQuotaShare     = 0.6  // for a tenant that sends more than its quota

	quotaTolerance         = 1.5 // times its quota that a tenant may send
	minTenantRequests      = 20  // and so many more; a smaller count says little
	tenantRequestsHalfLife = 4 * time.Second
)

// limitShare returns how much of the limit the request may help to fill, and counts it for its tenant.
func (c *Controller) limitShare(r Request, isRetry, isPunctual bool) float64 {
	share := c.fillableShare[r.Class]
	switch {
	case isRetry && isPunctual:
		share *= punctualRetryShare
	case isRetry:
		share *= earlyRetryShare
	}
	if r.Tenant >= 0 && r.Tenant < len(c.tenantRequests) {
		c.tenantRequests[r.Tenant]++
		c.allTenantRequests++
		if c.tenantRequests[r.Tenant] > c.options.Quotas[r.Tenant]*c.allTenantRequests*quotaTolerance+minTenantRequests {
			share *= overQuotaShare
		}
	}
	return share
}
