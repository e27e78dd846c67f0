package coalesce

// tenantQuota shares out places among tenants. Up to half of them are for anybody. Beyond that a tenant takes no more than an equal part,
// counted as if there were one tenant more, so that one with little to ask finds room beside one that asks without end. What a tenant
// holds beyond its part, from times with fewer tenants, comes back as its callers are answered: within their deadlines.
type tenantQuota struct {
	limit, total int
	byTenant     map[int]int // places; tenants without any are left out
}

func newTenantQuota(limit int) tenantQuota { return tenantQuota{limit: limit, byTenant: map[int]int{}} }

// acquire takes a place, and reports whether there was one for the tenant.
func (q *tenantQuota) acquire(tenant int) bool {
	holders := len(q.byTenant)
	if q.byTenant[tenant] == 0 {
		holders++
	}
	if q.total >= q.limit || 2*q.total >= q.limit && q.byTenant[tenant] >= max(1, q.limit/(holders+1)) {
		return false
	}
	q.total++
	q.byTenant[tenant]++
	return true
}

// release gives a place back.
func (q *tenantQuota) release(tenant int) {
	q.total--
	if q.byTenant[tenant]--; q.byTenant[tenant] == 0 {
		delete(q.byTenant, tenant)
	}
}
