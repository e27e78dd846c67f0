package extprocproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

// processor is a processor whose choices a test states, one a try: an endpoint, or "" for a refusal.
type processor struct {
	extprocv3.UnimplementedExternalProcessorServer
	choices []string

	mu    sync.Mutex
	told  []string // status and code details of the responses, by try
	tries []string // x-envoy-attempt-count
}

func (p *processor) Process(g extprocv3.ExternalProcessor_ProcessServer) error {
	for {
		req, err := g.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := g.Send(p.answer(req)); err != nil {
			return err
		}
	}
}

func (p *processor) answer(req *extprocv3.ProcessingRequest) *extprocv3.ProcessingResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := req.GetResponseHeaders(); h != nil {
		text := string(h.GetHeaders().GetHeaders()[0].GetRawValue())
		for _, a := range req.GetAttributes() {
			text += " " + a.GetFields()[codeDetails].GetStringValue()
		}
		p.told = append(p.told, text)
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
			ResponseHeaders: &extprocv3.HeadersResponse{}}}
	}
	for _, h := range req.GetRequestHeaders().GetHeaders().GetHeaders() {
		if h.GetKey() == "x-envoy-attempt-count" {
			p.tries = append(p.tries, string(h.GetRawValue()))
		}
	}
	choice := ""
	if n := len(p.tries); n <= len(p.choices) {
		choice = p.choices[n-1]
	}
	set := func(name, value string) *corev3.HeaderValueOption {
		return &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: name, RawValue: []byte(value)}}
	}
	if choice == "" {
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ImmediateResponse{
			ImmediateResponse: &extprocv3.ImmediateResponse{Status: &typev3.HttpStatus{Code: 503},
				Headers: &extprocv3.HeaderMutation{SetHeaders: []*corev3.HeaderValueOption{set("retry-after", "0.3")}}}}}
	}
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestHeaders{
		RequestHeaders: &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{
			HeaderMutation: &extprocv3.HeaderMutation{SetHeaders: []*corev3.HeaderValueOption{
				set(DestinationHeader, choice), set(ValidHeader, "400m"), set("x-timeout", "900m")}}}}}}
}

func (p *processor) heard() (tries, told string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.tries, ","), strings.Join(p.told, "; ")
}

// start runs the processor and a proxy that asks it, and returns the proxy's address.
func (p *processor) start(t *testing.T) string {
	l := agenttest.Listen(t)
	srv := grpc.NewServer()
	extprocv3.RegisterExternalProcessorServer(srv, p)
	var serving sync.WaitGroup
	serving.Go(func() { besteffort.Ignore(srv.Serve(l)) })
	t.Cleanup(func() { srv.Stop(); serving.Wait() })
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(conn) })
	front := httptest.NewServer(New(extprocv3.NewExternalProcessorClient(conn)))
	t.Cleanup(front.Close)
	return front.URL
}

func post(t *testing.T, url string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/refund-record?x=1", strings.NewReader("form"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-ID", "9b1f03aa5c7e2d41")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(resp.Body)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// Each try is asked for, told of and counted, until one is served.
func TestTriesUntilServed(t *testing.T) {
	failing := agenttest.NewBackend(t, agenttest.Says("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"))
	breaking := agenttest.NewBackend(t, func(net.Conn, *http.Request, int) bool { return false })
	fine := agenttest.NewBackend(t, agenttest.Says(agenttest.Served))
	p := &processor{choices: []string{agenttest.Refusing(t), breaking.Addr().String(), failing.Addr().String(), fine.Addr().String()}}
	resp, body := post(t, p.start(t))
	if resp.StatusCode != http.StatusOK || body != "fine" {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	tries, told := p.heard()
	if tries != "1,2,3,4" || told != "503 upstream_reset_before_response_started{remote_connection_failure}; "+
		"503 upstream_reset_before_response_started{connection_termination}; 500; 200" {
		t.Errorf("tries %s, told %s", tries, told)
	}
	r, sent := fine.Request(0)
	if sent != "form" || r.RequestURI != "/refund-record?x=1" || r.Header.Get("X-Timeout") != "900m" {
		t.Errorf("%s %v %q", r.RequestURI, r.Header, sent)
	}
}

// What the processor refuses is refused in its words, and goes nowhere.
func TestRefusal(t *testing.T) {
	p := &processor{}
	resp, _ := post(t, p.start(t))
	if tries, told := p.heard(); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "0.3" ||
		tries != "1" || told != "" {
		t.Errorf("%d %v, tries %s, told %s", resp.StatusCode, resp.Header, tries, told)
	}
}

// Without the processor nothing is sent on one's own.
func TestNoProcessor(t *testing.T) {
	conn, err := grpc.NewClient("passthrough:///"+agenttest.Refusing(t), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(conn)
	front := httptest.NewServer(New(extprocv3.NewExternalProcessorClient(conn)))
	defer front.Close()
	if resp, _ := post(t, front.URL); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%d", resp.StatusCode)
	}
}
