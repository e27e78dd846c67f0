package extproc

import (
	"net/http"
	"strconv"
	"strings"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"appleledge/internal/balancer"
)

// parseResponseHead returns the headers and the status code of a response; 0 for a malformed code.
func parseResponseHead(m *extprocv3.HttpHeaders) (http.Header, int) {
	h := parseHead(m.GetHeaders())
	text, _, err := singleValue(h.status, ":status")
	if err != nil || len(text) != 3 {
		return h.Header, 0
	}
	code, err := strconv.ParseUint(text, 10, 16)
	if err != nil || code < 100 {
		return h.Header, 0
	}
	return h.Header, int(code)
}

// servedBy returns the endpoint that served the request; "" where the proxy does not say.
func servedBy(req *extprocv3.ProcessingRequest, h http.Header) string {
	fields := req.GetMetadataContext().GetFilterMetadata()[MetadataNamespace].GetFields()
	if served := fields[ServedHeader].GetStringValue(); served != "" {
		return served
	}
	return h.Get(ServedHeader)
}

// notSentReasons are the reasons in Envoy's response code details that mean that no byte of the request was sent.
// (envoy/docs/root/configuration/http/http_conn_man/response_code_details.rst)
var notSentReasons = []string{"remote_connection_failure", "local_connection_failure", "connection_timeout"}

// localReplyResult returns the result of an attempt that the proxy itself ended, as its attributes say. An upstream reset
// for an unknown reason counts as balancer.Reset: the request may have run.
func localReplyResult(req *extprocv3.ProcessingRequest, h *extprocv3.HttpHeaders) (result balancer.Result, own bool) {
	details := codeDetails(req, h)
	switch {
	case strings.HasPrefix(details, "upstream_reset_before_response_started{"),
		strings.HasPrefix(details, "upstream_reset_after_response_started{"):
		_, reason, _ := strings.Cut(details, "{")
		for _, never := range notSentReasons {
			if strings.HasPrefix(reason, never) && strings.Contains(details, "_before_") {
				return balancer.ConnectFailed, true
			}
		}
		return balancer.Reset, true
	case details == "upstream_response_timeout", details == "upstream_per_try_timeout", details == "response_timeout":
		return balancer.TimedOut, true
	case details == "no_healthy_upstream", details == "cluster_not_found", details == "route_not_found":
		return balancer.NotSent, true // the proxy did not know the server, which says nothing of it
	}
	return 0, false
}

// codeDetails returns the attribute response.code_details, or "" where the proxy was not configured to send it.
func codeDetails(req *extprocv3.ProcessingRequest, h *extprocv3.HttpHeaders) string {
	for _, attrs := range []map[string]*structpb.Struct{req.GetAttributes(), h.GetAttributes()} { //nolint:staticcheck // deprecated in the protocol, and still read from a peer that sends it there
		for _, group := range attrs {
			if v, ok := group.GetFields()[codeDetailsAttribute]; ok {
				return v.GetStringValue()
			}
		}
	}
	return ""
}
