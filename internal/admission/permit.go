package admission

import (
	"time"
)

// Permit is the admission of one request. It is handed to Done once, by the goroutine that called Arrive.
type Permit struct {
	class       int
	admittedAt  time.Duration
	key         string
	isNearLimit bool // at its admission much of what its kind may fill was in use
	isOverdue   bool // it has not ended within the latency objective
	hasEnded    bool

	Endpoints  []string // ids of the servers that it may be sent to, sorted; nil: any
	IsRetry    bool     // it is taken for a retry
	MayHaveRun bool     // an earlier attempt may have run, as the request says or as is remembered
	issuer     Issuer
}

// Issuer says which controller issued a Permit. Of several controllers in front of one another each counts its own.
type Issuer int

// The issuers.
const (
	IssuedByController Issuer = iota
	IssuedByFleet             // fleet/overload
	IssuedByRecovery          // fleet/recovery
)

// NewPermit returns a permit of another controller.
func NewPermit(now time.Duration, r Request, issuer Issuer) *Permit {
	return &Permit{class: r.Class, admittedAt: now, key: r.Key, issuer: issuer}
}

// Completion returns, for a request that ends now, its class, how long it took and who admitted it.
func (p *Permit) Completion(now time.Duration) (class int, took time.Duration, issuer Issuer) {
	return p.class, now - p.admittedAt, p.issuer
}
