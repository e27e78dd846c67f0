package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"appleledge/internal/besteffort"
)

// maxResponseBytes bounds what a client reads: a plan as it is printed takes more than the one that is sent.
const maxResponseBytes = 4 * maxBodyBytes

// Client calls an agent at its operators' socket. It is safe for concurrent use.
type Client struct{ http http.Client }

// NewClient returns a client for the socket at a path. It opens a connection for each call.
func NewClient(socket string) *Client {
	return &Client{http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", socket)
		}}}}
}

// Call makes a call with body as JSON, or without a body if that is nil, and decodes the result into result. The error is a
// *CallError where the agent answers with a Problem.
func (c *Client) Call(ctx context.Context, method, path string, body, result any) error {
	var requestBody io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		requestBody = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://agent"+path, requestBody)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("the agent can't be reached: %w", err)
	}
	defer besteffort.Close(resp.Body)
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("the agent's answer was cut: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		e := &CallError{Status: resp.StatusCode}
		if json.Unmarshal(data, &e.Problem) != nil || e.Error() == "" {
			e.Problem.Error = resp.Status
		}
		return e
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("the agent's answer can't be read: %w", err)
	}
	return nil
}

// CallError is the Problem with which an agent answers a call.
type CallError struct {
	Status int // HTTP status
	Problem
}

// Error returns the problem's text and, a line each, what has changed.
func (e *CallError) Error() string {
	return strings.Join(append([]string{e.Problem.Error}, e.Changed...), "\n  ")
}
