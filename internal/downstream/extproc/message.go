package extproc

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"appleledge/internal/balancer"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
)

// Names of the endpoint picker protocol.
const (
	DestinationHeader   = "x-gateway-destination-endpoint"        // in the request, and in metadata: the choice
	ServedHeader        = "x-gateway-destination-endpoint-served" // in metadata or the response: who served
	SubsetHintKey       = "x-gateway-destination-endpoint-subset" // in the hint: the endpoints to choose among
	MetadataNamespace   = "envoy.lb"
	SubsetHintNamespace = "envoy.lb.subset_hint"
)

// Names of our own, in the request that goes on.
const (
	// ValidForHeader says for how long a decision may be used, counted from when it was made, in the form of X-Timeout.
	ValidForHeader = "x-appleledge-decision-valid"
	// UseByHeader says the same as a point of time, Unix time in milliseconds, for proxies on the agent's machine.
	UseByHeader = "x-appleledge-decision-use-by"
)

const (
	envoyTimeoutHeader   = "X-Envoy-Expected-Rq-Timeout-Ms"
	envoyAttemptHeader   = "X-Envoy-Attempt-Count"
	codeDetailsAttribute = "response.code_details"
	loadHeader           = "X-Server-Load"
	notProcessedHeader   = "X-Not-Processed"
	typicalValueCount    = 12 // values that a usual head has of those that are read
	typicalHeaderCount   = 8  // and headers

	maxAttemptCount = 1000 // as a proxy may count its tries
	maxLoggedBytes  = 100  // bytes of a peer's text in a log line
)

func badRequest(format string, args ...any) error {
	return requesthead.BadRequestError{Status: http.StatusBadRequest, Text: fmt.Sprintf(format, args...)}
}

// accept reads and checks the head of a request, as strictly as direct mode does.
func (s *Server) parseRequest(req *extprocv3.ProcessingRequest, h *extprocv3.HttpHeaders) (*engine.Call, error) {
	began := s.Clock.Now()
	head, err := parseRequestHead(h)
	if err != nil {
		return nil, err
	}
	try, err := attemptCount(head.Header)
	if err != nil {
		return nil, err
	}
	call, _, err := s.Rules.Check(head, began)
	if err != nil {
		return nil, err
	}
	call.CallerAttempt = try
	hint, there, err := subsetHint(req, s.Settings.MaxSubset)
	if err != nil {
		return nil, err
	}
	if there {
		call.Candidates = s.listedIDs(hint)
	}
	return call, nil
}

// known returns the ids of the hinted endpoints that the list names, sorted; it is never nil.
func (s *Server) listedIDs(hint []string) []string {
	ids := []string{}
	for _, addr := range hint {
		at := s.Pool.IDsAt(addr)
		if len(at) == 0 {
			s.Counts.unknownHints.Add(1)
			s.logOnce.hint.Do(func() {
				s.Log.Warn("a subset hint holds an endpoint that the list does not name; further ones are not logged",
					"endpoint", truncate(addr))
			})
		}
		ids = append(ids, at...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// canonicalNames are the headers that are read of requests and responses, by the names that HTTP/2 gives them, with net/http's.
// All others are passed over: most of a head concerns others.
var canonicalNames = func() map[string]string {
	names := map[string]string{}
	for _, name := range slices.Concat([]string{"Content-Length", "Transfer-Encoding", envoyTimeoutHeader, envoyAttemptHeader, loadHeader,
		notProcessedHeader, ServedHeader}, requesthead.CheckedHeaders, requesthead.RoutingHeaders) {
		names[strings.ToLower(name)] = http.CanonicalHeaderKey(name)
	}
	return names
}()

// head is a head as far as it is read.
type parsedHead struct {
	method, path, status []string
	http.Header
}

// parseHead reads a header map.
func parseHead(m *corev3.HeaderMap) (out parsedHead) {
	values := make([]string, 0, typicalValueCount)
	add := func(to []string, value string) []string {
		if to != nil {
			return append(to, value)
		}
		values = append(values, value)
		return values[len(values)-1 : len(values) : len(values)]
	}
	for _, v := range m.GetHeaders() {
		value := v.GetValue()
		if raw := v.GetRawValue(); len(raw) > 0 {
			value = string(raw)
		}
		switch key := v.GetKey(); key {
		case ":method":
			out.method = add(out.method, value)
		case ":path":
			out.path = add(out.path, value)
		case ":status":
			out.status = add(out.status, value)
		default:
			name, wanted := canonicalNames[key]
			if !wanted { // HTTP/2 allows no capitals in names, but a proxy need not mind
				if name, wanted = canonicalNames[strings.ToLower(key)]; !wanted {
					continue
				}
			}
			if out.Header == nil {
				out.Header = make(http.Header, typicalHeaderCount)
			}
			out.Header[name] = add(out.Header[name], value)
		}
	}
	return out
}

// one returns the value of a header that may be there once at most.
func singleValue(values []string, name string) (value string, there bool, err error) {
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	}
	return "", true, badRequest("%s is there more than once", name)
}

// parseRequestHead reads the head of a request.
func parseRequestHead(m *extprocv3.HttpHeaders) (requesthead.Head, error) {
	h := parseHead(m.GetHeaders())
	method, _, err := singleValue(h.method, ":method")
	if err != nil {
		return requesthead.Head{}, err
	}
	path, _, err := singleValue(h.path, ":path")
	if err != nil {
		return requesthead.Head{}, err
	}
	path, _, _ = strings.Cut(path, "?")
	length, chunked, err := bodyLength(h.Header, m.GetEndOfStream())
	if err != nil {
		return requesthead.Head{}, err
	}
	if _, stated := h.Header[requesthead.TimeoutHeader]; !stated {
		ms, there, err := singleValue(h.Header[envoyTimeoutHeader], envoyTimeoutHeader)
		if err != nil {
			return requesthead.Head{}, err
		}
		if there {
			h.Set(requesthead.TimeoutHeader, ms+"m")
		}
	}
	return requesthead.Head{Method: method, Path: path, Header: h.Header, ContentLength: length, Chunked: chunked}, nil
}

// bodyLength reads the stated length of a body. One that has none is as good as chunked: its end is not known ahead.
func bodyLength(h http.Header, noBody bool) (length int64, chunked bool, err error) {
	if len(h["Transfer-Encoding"]) > 0 {
		return -1, true, nil
	}
	text, there, err := singleValue(h["Content-Length"], "Content-Length")
	switch {
	case err != nil:
		return 0, false, err
	case !there:
		return 0, !noBody, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil || noBody && n > 0 {
		return 0, false, badRequest("Content-Length is malformed or does not fit")
	}
	return int64(n), false, nil
}

// attemptCount reads which of the proxy's own tries this is; 0 where it does not say.
func attemptCount(h http.Header) (int, error) {
	text, there, err := singleValue(h[envoyAttemptHeader], envoyAttemptHeader)
	if err != nil || !there {
		return 0, err
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxAttemptCount {
		return 0, badRequest("%s is no count of tries", envoyAttemptHeader)
	}
	return n, nil
}

// subsetHint reads the endpoints to choose among: a list of texts, or one text with commas.
func subsetHint(req *extprocv3.ProcessingRequest, maxEndpoints int) (addrs []string, there bool, err error) {
	value, there := req.GetMetadataContext().GetFilterMetadata()[SubsetHintNamespace].GetFields()[SubsetHintKey]
	if !there {
		return nil, false, nil
	}
	switch kind := value.GetKind().(type) {
	case *structpb.Value_StringValue:
		addrs = splitAddresses(kind.StringValue, maxEndpoints)
	case *structpb.Value_ListValue:
		for _, v := range kind.ListValue.GetValues() {
			text, ok := v.GetKind().(*structpb.Value_StringValue)
			if !ok {
				return nil, true, badRequest("the subset hint holds what is no endpoint")
			}
			addrs = append(addrs, splitAddresses(text.StringValue, maxEndpoints)...)
			if len(addrs) > maxEndpoints {
				break
			}
		}
	default:
		return nil, true, badRequest("the subset hint is no list of endpoints")
	}
	if len(addrs) > maxEndpoints {
		return nil, true, badRequest("the subset hint holds over %d endpoints", maxEndpoints)
	}
	return addrs, true, nil
}

// split cuts a text at its commas, into a few more than most parts at the most.
func splitAddresses(text string, maxEndpoints int) (out []string) {
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
		if len(out) > maxEndpoints {
			break
		}
	}
	return out
}

// parseResponseHead reads the head of a response; a status that can't be read is 0.
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

// servedBy returns the endpoint that served, where the proxy tells.
func servedBy(req *extprocv3.ProcessingRequest, h http.Header) string {
	fields := req.GetMetadataContext().GetFilterMetadata()[MetadataNamespace].GetFields()
	if served := fields[ServedHeader].GetStringValue(); served != "" {
		return served
	}
	return h.Get(ServedHeader)
}

// notSentReasons are the reasons in Envoy's response code details with which no byte of a request has left the proxy.
// (envoy/docs/root/configuration/http/http_conn_man/response_code_details.rst)
var notSentReasons = []string{"remote_connection_failure", "local_connection_failure", "connection_timeout"}

// localReplyResult reads how the proxy itself ended the try, where its attributes tell. A reason that is not known may mean
// anything, so that the request may have run.
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

// choice is a decision as a proxy is told it.
type routingDecision struct {
	addr          string
	metadata      *structpb.Struct
	validFor      time.Duration // how long it may be used
	useBy         time.Time
	timeout       time.Duration // what is left of the client's patience
	overridesMode bool          // ask for the ends of responses
}

// endpoints holds the dynamic metadata of the endpoints that were chosen lately: a few objects a decision less. They are
// shared, and never changed.
type metadataCache struct {
	mu        sync.Mutex
	byAddress map[string]*structpb.Struct
}

const maxCachedEndpoints = 4096 // held; then all are dropped

func (e *metadataCache) get(addr string) *structpb.Struct {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m := e.byAddress[addr]; m != nil {
		return m
	}
	if e.byAddress == nil || len(e.byAddress) >= maxCachedEndpoints {
		e.byAddress = map[string]*structpb.Struct{}
	}
	m := &structpb.Struct{Fields: map[string]*structpb.Value{
		MetadataNamespace: structpb.NewStructValue(&structpb.Struct{Fields: map[string]*structpb.Value{
			DestinationHeader: structpb.NewStringValue(addr),
		}}),
	}}
	e.byAddress[addr] = m
	return m
}

// responseEndMode asks a proxy for the ends of responses.
var responseEndMode = &filterv3.ProcessingMode{ResponseHeaderMode: filterv3.ProcessingMode_SEND,
	ResponseTrailerMode: filterv3.ProcessingMode_SEND}

// decisionParts are the messages of a decision in one piece of memory.
type decisionParts struct {
	response extprocv3.ProcessingResponse
	kind     extprocv3.ProcessingResponse_RequestHeaders
	headers  extprocv3.HeadersResponse
	common   extprocv3.CommonResponse
	mutation extprocv3.HeaderMutation
	options  [4]corev3.HeaderValueOption
	values   [4]corev3.HeaderValue
	set      [4]*corev3.HeaderValueOption
}

func decisionResponse(c routingDecision) *extprocv3.ProcessingResponse {
	p := &decisionParts{}
	for i, h := range [...]struct{ name, value string }{
		{DestinationHeader, c.addr},
		{ValidForHeader, milliseconds(c.validFor)},
		{UseByHeader, strconv.FormatInt(c.useBy.UnixMilli(), 10)},
		{timeoutHeaderName, milliseconds(c.timeout)},
	} {
		p.values[i].Key, p.values[i].RawValue = h.name, []byte(h.value)
		p.options[i].Header, p.options[i].AppendAction = &p.values[i], corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD
		p.set[i] = &p.options[i]
	}
	p.mutation.SetHeaders = p.set[:]
	p.common.ClearRouteCache, p.common.HeaderMutation = true, &p.mutation
	p.headers.Response = &p.common
	p.kind.RequestHeaders = &p.headers
	p.response.Response, p.response.DynamicMetadata = &p.kind, c.metadata
	if c.overridesMode { // a proxy that does not allow it goes on as it was
		p.response.ModeOverride = responseEndMode
	}
	return &p.response
}

// timeoutHeaderName is the header that tells a server how long the client waits.
var timeoutHeaderName = strings.ToLower(requesthead.TimeoutHeader)

func overwriteHeader(name, value string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: name, RawValue: []byte(value)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD}
}

// milliseconds is a time in the form of X-Timeout, in whole milliseconds, rounded down: never more than there is.
func milliseconds(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10) + "m"
}

var answerStatuses = [...]int{engine.Served: http.StatusConflict, engine.Rejected: http.StatusServiceUnavailable,
	engine.Failed: http.StatusBadGateway, engine.Conflict: http.StatusConflict}

var answerTexts = [...]string{engine.Served: "served elsewhere", engine.Rejected: "refused: trying again is harmless",
	engine.Failed: "failed: it may have run", engine.Conflict: "another request is open under this id"}

// immediate is a final answer that the agent gives in place of a backend.
func immediateAnswer(a engine.Answer) *extprocv3.ProcessingResponse {
	var headers []*corev3.HeaderValueOption
	for _, header := range requesthead.RetryAfterHeaders(a) {
		headers = append(headers, overwriteHeader(strings.ToLower(header[0]), header[1]))
	}
	return immediateResponse(answerStatuses[a.Kind], answerTexts[a.Kind], headers)
}

// immediateError answers bad input.
func immediateError(err error) *extprocv3.ProcessingResponse {
	code := http.StatusBadRequest
	if b, ok := errors.AsType[requesthead.BadRequestError](err); ok {
		code = b.Status
	}
	return immediateResponse(code, err.Error(), nil)
}

func immediateResponse(code int, text string, headers []*corev3.HeaderValueOption) *extprocv3.ProcessingResponse {
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ImmediateResponse{
		ImmediateResponse: &extprocv3.ImmediateResponse{
			Status:  &typev3.HttpStatus{Code: typev3.StatusCode(code)},
			Headers: &extprocv3.HeaderMutation{SetHeaders: headers},
			Body:    []byte(text + "\n"),
			Details: "appleledge",
		}}}
}

// continueResponseHeaders lets a response's headers go on unchanged.
var continueResponseHeaders = &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
	ResponseHeaders: &extprocv3.HeadersResponse{}}}

// continueBody lets a part of a body go on unchanged. In full duplex the processor owes the proxy what it was sent.
func continueBody(b *extprocv3.HttpBody, ofResponse, fullDuplex bool) *extprocv3.ProcessingResponse {
	body := &extprocv3.BodyResponse{}
	if fullDuplex {
		body.Response = &extprocv3.CommonResponse{BodyMutation: &extprocv3.BodyMutation{
			Mutation: &extprocv3.BodyMutation_StreamedResponse{StreamedResponse: &extprocv3.StreamedBodyResponse{
				Body: b.GetBody(), EndOfStream: b.GetEndOfStream(),
				EndOfStreamWithoutMessage: b.GetEndOfStreamWithoutMessage(), GrpcMessageCompressed: b.GetGrpcMessageCompressed(),
			}}}}
	}
	if ofResponse {
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseBody{ResponseBody: body}}
	}
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{RequestBody: body}}
}

func continueTrailers(ofResponse bool) *extprocv3.ProcessingResponse {
	trailers := &extprocv3.TrailersResponse{}
	if ofResponse {
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseTrailers{ResponseTrailers: trailers}}
	}
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestTrailers{RequestTrailers: trailers}}
}

// clip is a peer's text, short enough for a log line.
func truncate(text string) string {
	if len(text) > maxLoggedBytes {
		return text[:maxLoggedBytes] + "..."
	}
	return text
}
