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

// Client calls an agent at its socket.
type Client struct{ http http.Client }

// NewClient returns a client of the agent whose socket that is.
func NewClient(socket string) *Client {
	return &Client{http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", socket)
		}}}}
}

// Call makes a call. A body of nil sends none. What the agent has against it is a *CallError.
func (c *Client) Call(ctx context.Context, method, path string, body, into any) error {
	var sent io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		sent = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://agent"+path, sent)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("the agent can't be reached: %w", err)
	}
	defer besteffort.Close(resp.Body)
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4*mostBody))
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
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("the agent's answer can't be read: %w", err)
	}
	return nil
}

// CallError is what an agent has against a call.
type CallError struct {
	Status int // of HTTP
	Problem
}

func (e *CallError) Error() string {
	return strings.Join(append([]string{e.Problem.Error}, e.Changed...), "\n  ")
}
