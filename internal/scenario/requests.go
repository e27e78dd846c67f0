package scenario

import (
	"math/rand/v2"
	"slices"
	"time"
)

// cumulativeWeights draws the agents' shares of the traffic and returns their running sums: most carry little, some far more.
func cumulativeWeights(agents int, random *rand.Rand) (all []float64) {
	sum := 0.0
	for range agents {
		sum += 0.3 + random.ExpFloat64()
		all = append(all, sum)
	}
	return all
}

// drawnRequest is a new request and the number of the agent that it goes to.
type drawnRequest struct {
	requestRecord
	agent int
}

// drawRequest draws an agent by the weights, a class, and a refund point by its share.
func drawRequest(random *rand.Rand, weights []float64) *drawnRequest {
	x := random.Float64() * weights[len(weights)-1]
	r := &drawnRequest{agent: slices.IndexFunc(weights, func(sum float64) bool { return x < sum })}
	if random.Float64() < 0.33 {
		r.class = 1
	}
	x = random.Float64()
	for i, p := range refundPoints {
		if r.tenant = i; x < p.share {
			break
		}
		x -= p.share
	}
	return r
}

// requestRecord is what the report needs to know of a request.
type requestRecord struct {
	class, tenant  int
	idempotencyKey string // empty for the idempotent class
	arrived        time.Duration
	attempts       int
	result         requestResult
	latency        time.Duration // from the first attempt to the end
}

// requestResult is how a request ended for its client.
type requestResult int

const (
	pending requestResult = iota
	served
	rejected
	failed
	unanswered // no answer before the deadline
)
