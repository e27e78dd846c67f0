package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"appleledge/internal/besteffort"
)

// sendRequests sends requests at random times until the context ends. It doesn't wait for their answers.
func (l *liveRun) sendRequests(ctx context.Context, begin time.Duration) {
	random := rand.New(rand.NewPCG(l.clientSeed(), 3))
	zipf := rand.NewZipf(random, 1.2, 8, uint64(l.script.Clients.DistinctForms-1))
	weights := cumulativeWeights(len(l.agents), random)
	for next := begin; ; {
		l.sleep(ctx, next)
		if ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		l.delays = append(l.delays, l.elapsed()-next)
		l.mu.Unlock()
		r := drawRequest(random, weights)
		r.arrived = next
		id := len(l.records)
		if r.class == 1 {
			r.idempotencyKey = fmt.Sprint("refund-", id)
		}
		l.records = append(l.records, &r.requestRecord)
		route := fmt.Sprint("form-", zipf.Uint64())
		l.inFlight.Go(func() { l.runRequest(&r.requestRecord, l.agents[r.agent], fmt.Sprint("r", id), route) })
		next += time.Duration(random.ExpFloat64() / (l.script.Clients.Rate * float64(l.loadFactorMillionths.Load()) / loadFactorUnit) * float64(time.Second))
	}
}

// clientSeed returns the seed of the clients' draws, which don't disturb the draws of the run.
func (l *liveRun) clientSeed() uint64 { return uint64(l.report.Duration) ^ 0x9e3779b97f4a7c15 }

// runRequest sends a request and its retries, and records the result.
func (l *liveRun) runRequest(r *requestRecord, a *liveAgent, id, route string) {
	for {
		r.attempts++
		before := a.currentIncarnation()
		status, retryAfter, unansweredFor, err := l.sendAttempt(r, a, fmt.Sprintf("%s.%d", id, r.attempts), route)
		switch {
		case unansweredFor > 0 && a.owesAnswers(before):
			l.addViolation("1", "agent %d ended the connection of request %s.%d without a whole answer, %v after its last byte", a.number+1, id, r.attempts,
				unansweredFor.Round(time.Millisecond))
			r.result = unanswered
		case errors.Is(err, errNoNewConnections): // its connection crossed the agent's close
			r.result = failed
		case err != nil && before.isAvailable && before.number == a.currentIncarnation().number:
			l.addViolation("1", "request %s.%d got no whole answer from agent %d: %v", id, r.attempts, a.number+1, err)
			r.result = unanswered
		case err != nil && r.idempotencyKey == "" && r.attempts == 1 && l.script.Clients.Retry:
			time.Sleep(clientRetryDelay)
			continue
		case err != nil:
			r.result = failed
		case status == http.StatusOK:
			r.result = served
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			if l.script.Clients.allowsRetry(r.attempts) {
				if !l.script.Clients.HonorRetryAfter || retryAfter <= 0 {
					l.mu.Lock()
					retryAfter = l.script.Clients.drawBackoff(l.backoffRandom)
					l.mu.Unlock()
				}
				time.Sleep(retryAfter)
				continue
			}
			r.result = rejected
		default:
			r.result = failed
		}
		r.latency = l.elapsed() - r.arrived
		return
	}
}

// sendAttempt sends one attempt. retryAfter is 0 if the answer names none; err means that there was no complete answer. unansweredFor is
// above 0 where a connection of the attempt ended without one, so long after the request was written to it.
func (l *liveRun) sendAttempt(r *requestRecord, a *liveAgent, id, route string) (status int, retryAfter, unansweredFor time.Duration, err error) {
	method, body := http.MethodGet, ""
	if r.idempotencyKey != "" {
		method, body = http.MethodPost, "form"
	}
	req, err := http.NewRequest(method, "http://"+a.addr+"/"+classes[r.class].Name, strings.NewReader(body))
	if err != nil {
		return 0, 0, 0, err
	}
	losses := &lossWatch{}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), losses.trace()))
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Tenant-Id", refundPoints[r.tenant].name)
	req.Header.Set("X-Route-Key", route)
	req.Header.Set("X-Timeout", fmt.Sprint(deadline.Milliseconds(), "m"))
	if r.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.idempotencyKey)
	}
	if r.attempts > 1 && l.script.Clients.MarkRetries {
		req.Header.Set("X-Retried", "1")
	}
	resp, err := a.client.Do(req)
	if err != nil {
		losses.connEnded()
		return 0, 0, losses.unansweredFor(), err
	}
	defer besteffort.Close(resp.Body)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		losses.connEnded()
		return 0, 0, losses.unansweredFor(), err
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), losses.unansweredFor(), nil
}
