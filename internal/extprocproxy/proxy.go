// Package extprocproxy is a small HTTP/1.1 proxy that asks an external processor where each request goes, as Envoy with
// its ext_proc filter does. It is a test double for a real proxy, and lets operators try the processor (cmd/extprocproxy).
// It isn't meant for production.
package extprocproxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"appleledge/internal/besteffort"
)

const (
	maxBodyBytes        = 64 << 10
	attributes          = "envoy.filters.http.ext_proc"
	codeDetails         = "response.code_details"
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 64
	reportTimeout       = 2 * time.Second // for the processor to accept the outcome of an attempt
	maxClientTimeout    = time.Minute
)

// Header names that proxy and processor share. They are repeated here on purpose: with the processor's own constants a
// wrong name would go unnoticed.
const (
	DestinationHeader = "x-gateway-destination-endpoint"
	ServedHeader      = "x-gateway-destination-endpoint-served"
	ValidHeader       = "x-appleledge-decision-valid"
)

// Proxy forwards requests to the endpoints that the processor chooses. It is safe for concurrent use once its fields are set.
type Proxy struct {
	Processor extprocv3.ExternalProcessorClient
	// MaxAttempts is the most attempts a request may take; each is a stream of its own, on which the processor decides. A proxy
	// that stops before the processor ends the request can only answer that it failed.
	MaxAttempts int
	Transport   http.RoundTripper // to the endpoints
	// AttemptTimeout is after how long an attempt is given up; the processor learns it by the end of the stream only. 0: at the
	// deadline of the request.
	AttemptTimeout time.Duration
	// AbortsStream, if set, is called after an attempt; if it returns true the stream breaks without an outcome.
	AbortsStream func() bool
}

// New returns a proxy with at most 10 attempts a request.
func New(processor extprocv3.ExternalProcessorClient) *Proxy {
	return &Proxy{Processor: processor, MaxAttempts: 10, Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     5 * time.Second, // well below the time after which servers close
		DisableCompression:  true,
	}}
}

// attemptResult is how one attempt ended.
type attemptResult struct {
	isFinal bool // the client gets it; else another attempt may be made
	status  int
	header  http.Header
	body    []byte
}

// ServeHTTP answers a request. It answers 502 if the processor fails or all attempts are used up.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body is too long or not whole", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), clientTimeout(r.Header))
	defer cancel()
	for try := 1; try <= p.MaxAttempts; try++ {
		res, err := p.sendAttempt(ctx, r, body, try)
		if err != nil { // the processor is out of reach: no attempt without its decision
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		if res.isFinal {
			for _, name := range []string{"Content-Type", "Retry-After"} {
				if v := res.header.Get(name); v != "" {
					w.Header().Set(name, v)
				}
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(res.body)))
			w.WriteHeader(res.status)
			besteffort.IgnoreResult(w.Write(res.body)) // an error means that the client has gone
			return
		}
	}
	http.Error(w, "tried too often", http.StatusBadGateway)
}

// clientTimeout returns how long the client waits, by X-Timeout.
func clientTimeout(h http.Header) time.Duration {
	text, unit := h.Get("X-Timeout"), time.Millisecond
	if n, err := strconv.ParseFloat(strings.TrimSuffix(text, "m"), 64); err == nil && n > 0 {
		return min(time.Duration(n*float64(unit)), maxClientTimeout)
	}
	return maxClientTimeout // the processor judges what is malformed
}

// sendAttempt makes one attempt on a stream of its own.
func (p *Proxy) sendAttempt(ctx context.Context, r *http.Request, body []byte, try int) (attemptResult, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := p.Processor.Process(streamCtx)
	if err != nil {
		return attemptResult{}, fmt.Errorf("asking the processor: %w", err)
	}
	resp, err := exchange(stream, &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{
		RequestHeaders: requestHeaders(r, len(body), try)}})
	if err != nil {
		return attemptResult{}, fmt.Errorf("asking the processor: %w", err)
	}
	if now := resp.GetImmediateResponse(); now != nil {
		return immediateResult(now), nil
	}
	choice, err := parseDecision(resp)
	if err != nil {
		return attemptResult{}, err
	}
	tryCtx := ctx
	if p.AttemptTimeout > 0 {
		var end context.CancelFunc
		tryCtx, end = context.WithTimeout(ctx, p.AttemptTimeout)
		defer end()
	}
	res, told := p.forward(tryCtx, r, body, choice)
	if tryCtx.Err() != nil && !res.isFinal || p.AbortsStream != nil && p.AbortsStream() {
		return res, nil // the stream breaks as this returns
	}
	if err := reportOutcome(stream, told); err != nil && !res.isFinal { // no further attempt without its agreement
		return attemptResult{}, fmt.Errorf("telling the processor: %w", err)
	}
	return res, nil
}

// exchange sends a message and waits for its answer.
func exchange(stream extprocv3.ExternalProcessor_ProcessClient, req *extprocv3.ProcessingRequest) (*extprocv3.ProcessingResponse, error) {
	if err := stream.Send(req); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return stream.Recv() // after io.EOF of the send it has the reason
}

// reportOutcome sends the outcome of the attempt and closes the stream.
func reportOutcome(stream extprocv3.ExternalProcessor_ProcessClient, req *extprocv3.ProcessingRequest) error {
	done := make(chan error, 1)
	go func() {
		_, err := exchange(stream, req)
		if err == nil {
			err = stream.CloseSend()
		}
		done <- err
	}()
	limit := time.NewTimer(reportTimeout)
	defer limit.Stop()
	select {
	case err := <-done:
		if err != nil {
			return err
		}
	case <-limit.C:
		return errors.New("the processor takes nothing")
	}
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("the processor did not end the stream: %w", err)
	}
	return nil
}

// decision is the processor's decision: where to send the request, until when, and with which headers.
type decision struct {
	endpoint   string
	validUntil time.Time
	headers    map[string]string // headers for the request
}

// parseDecision reads the decision from the processor's answer.
func parseDecision(resp *extprocv3.ProcessingResponse) (decision, error) {
	c := decision{headers: map[string]string{}}
	for _, h := range resp.GetRequestHeaders().GetResponse().GetHeaderMutation().GetSetHeaders() {
		c.headers[h.GetHeader().GetKey()] = string(h.GetHeader().GetRawValue())
	}
	c.endpoint = c.headers[DestinationHeader]
	valid, err := strconv.Atoi(strings.TrimSuffix(c.headers[ValidHeader], "m"))
	if c.endpoint == "" || err != nil {
		return c, fmt.Errorf("the processor's answer names no endpoint: %.200v", resp)
	}
	c.validUntil = time.Now().Add(time.Duration(valid) * time.Millisecond)
	return c, nil
}

// forward sends the attempt to the endpoint and returns its result for the client and its outcome for the processor.
func (p *Proxy) forward(ctx context.Context, r *http.Request, body []byte, c decision) (attemptResult, *extprocv3.ProcessingRequest) {
	if time.Now().After(c.validUntil) {
		return attemptResult{}, localReply("no_healthy_upstream")
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.endpoint+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return attemptResult{}, localReply("no_healthy_upstream")
	}
	out.Host, out.Header = r.Host, r.Header.Clone()
	out.GetBody = nil // the transport must not send it again by itself
	if len(body) == 0 && r.Method != http.MethodGet {
		out.Close = true // on a new connection there is nothing that it would send again for
	}
	for name, value := range c.headers {
		out.Header.Set(name, value)
	}
	resp, err := p.Transport.RoundTrip(out)
	if err != nil {
		return attemptResult{}, localReply(codeDetailsOf(err))
	}
	defer besteffort.Close(resp.Body)
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil || len(text) > maxBodyBytes {
		return attemptResult{}, localReply("upstream_reset_after_response_started{connection_termination}")
	}
	header := []*corev3.HeaderValue{{Key: ":status", RawValue: []byte(strconv.Itoa(resp.StatusCode))},
		{Key: ServedHeader, RawValue: []byte(c.endpoint)}}
	for _, name := range []string{"X-Server-Load", "X-Not-Processed"} {
		for _, v := range resp.Header.Values(name) {
			header = append(header, &corev3.HeaderValue{Key: strings.ToLower(name), RawValue: []byte(v)})
		}
	}
	return attemptResult{isFinal: resp.StatusCode == http.StatusOK, status: resp.StatusCode, header: resp.Header, body: text},
		responseHeaders(header, nil)
}

// codeDetailsOf returns the response code details that Envoy gives for the error.
func codeDetailsOf(err error) string {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		if op.Timeout() {
			return "upstream_reset_before_response_started{connection_timeout}"
		}
		return "upstream_reset_before_response_started{remote_connection_failure}"
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "upstream_response_timeout"
	}
	return "upstream_reset_before_response_started{connection_termination}"
}

// localReply returns the outcome of a response that the proxy made itself.
func localReply(details string) *extprocv3.ProcessingRequest {
	return responseHeaders([]*corev3.HeaderValue{{Key: ":status", RawValue: []byte("503")}},
		map[string]*structpb.Struct{attributes: {Fields: map[string]*structpb.Value{
			codeDetails: structpb.NewStringValue(details)}}})
}

// responseHeaders returns the message for the headers of a response.
func responseHeaders(header []*corev3.HeaderValue, attrs map[string]*structpb.Struct) *extprocv3.ProcessingRequest {
	return &extprocv3.ProcessingRequest{Attributes: attrs, Request: &extprocv3.ProcessingRequest_ResponseHeaders{
		ResponseHeaders: &extprocv3.HttpHeaders{Headers: &corev3.HeaderMap{Headers: header}}}}
}

// requestHeaders returns the message for the headers of an attempt; body is the length of the request's body in bytes.
func requestHeaders(r *http.Request, body, try int) *extprocv3.HttpHeaders {
	header := []*corev3.HeaderValue{
		{Key: ":method", RawValue: []byte(r.Method)}, {Key: ":path", RawValue: []byte(r.URL.RequestURI())},
		{Key: ":authority", RawValue: []byte(r.Host)},
		{Key: "content-length", RawValue: []byte(strconv.Itoa(body))},
		{Key: "x-envoy-attempt-count", RawValue: []byte(strconv.Itoa(try))},
	}
	for name, values := range r.Header {
		if name == "Content-Length" || name == "X-Envoy-Attempt-Count" {
			continue
		}
		for _, v := range values {
			header = append(header, &corev3.HeaderValue{Key: strings.ToLower(name), RawValue: []byte(v)})
		}
	}
	return &extprocv3.HttpHeaders{Headers: &corev3.HeaderMap{Headers: header}, EndOfStream: body == 0}
}

// immediateResult returns the answer that the processor gives itself.
func immediateResult(now *extprocv3.ImmediateResponse) attemptResult {
	res := attemptResult{isFinal: true, status: int(now.GetStatus().GetCode()), header: http.Header{}, body: now.GetBody()}
	for _, h := range now.GetHeaders().GetSetHeaders() {
		res.header.Set(h.GetHeader().GetKey(), string(h.GetHeader().GetRawValue()))
	}
	return res
}
