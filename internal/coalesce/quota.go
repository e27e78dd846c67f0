package coalesce

// quota shares out places among tenants. Up to half of them are anybody's. Beyond that a tenant takes no more than an
// equal part, counted as if one tenant more were there, so that one with little to ask finds room beside one that asks
// without end. What a tenant holds beyond its part, from times when fewer asked, comes back as its callers are answered:
// within their deadline.
type quota struct {
	most, all int
	held      map[int]int // by tenant; those that hold none are left out
}

func newQuota(most int) quota { return quota{most: most, held: map[int]int{}} }

// take takes a place, if there is one for the tenant.
func (q *quota) take(tenant int) bool {
	holders := len(q.held)
	if q.held[tenant] == 0 {
		holders++
	}
	if q.all >= q.most || 2*q.all >= q.most && q.held[tenant] >= max(1, q.most/(holders+1)) {
		return false
	}
	q.all++
	q.held[tenant]++
	return true
}

// give gives a place back.
func (q *quota) give(tenant int) {
	q.all--
	if q.held[tenant]--; q.held[tenant] == 0 {
		delete(q.held, tenant)
	}
}
