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
	DestinationHeader = "x-gateway-destination-endpoint"        // in the request, and in metadata: the choice
	ServedHeader      = "x-gateway-destination-endpoint-served" // in metadata or the response: who served
	SubsetKey         = "x-gateway-destination-endpoint-subset" // in the hint: the endpoints to choose among
	MetadataSpace     = "envoy.lb"
	SubsetSpace       = "envoy.lb.subset_hint"
)

// Names of our own, in the request that goes on.
const (
	// ValidHeader says for how long a decision may be used, counted from when it was made, in the form of X-Timeout.
	ValidHeader = "x-appleledge-decision-valid"
	// UseByHeader says the same as a point of time, Unix time in milliseconds, for proxies on the agent's machine.
	UseByHeader = "x-appleledge-decision-use-by"
)

const (
	envoyTimeout       = "X-Envoy-Expected-Rq-Timeout-Ms"
	envoyAttempt       = "X-Envoy-Attempt-Count"
	detailsAttr        = "response.code_details"
	loadHeader         = "X-Server-Load"
	notProcessedHeader = "X-Not-Processed"
	mostRead           = 12 // values that a usual head has of those that are read
	usualHeaders       = 8  // and headers

	mostTries     = 1000 // as a proxy may count its tries
	longestLogged = 100  // bytes of a peer's text in a log line
)

func badRequest(format string, args ...any) error {
	return requesthead.BadRequestError{Status: http.StatusBadRequest, Text: fmt.Sprintf(format, args...)}
}

// accept reads and checks the head of a request, as strictly as direct mode does.
func (s *Server) accept(req *extprocv3.ProcessingRequest, h *extprocv3.HttpHeaders) (*engine.Call, error) {
	began := s.Clock.Now()
	head, err := requestHead(h)
	if err != nil {
		return nil, err
	}
	try, err := tryCount(head.Header)
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
		call.Candidates = s.known(hint)
	}
	return call, nil
}

// known returns the ids of the hinted endpoints that the list names, sorted; it is never nil.
func (s *Server) known(hint []string) []string {
	ids := []string{}
	for _, addr := range hint {
		at := s.Pool.IDsAt(addr)
		if len(at) == 0 {
			s.Counts.unknownHints.Add(1)
			s.once.hint.Do(func() {
				s.Log.Warn("a subset hint holds an endpoint that the list does not name; further ones are not logged",
					"endpoint", clip(addr))
			})
		}
		ids = append(ids, at...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// readNames are the headers that are read of requests and responses, by the names that HTTP/2 gives them, with net/http's.
// All others are passed over: most of a head concerns others.
var readNames = func() map[string]string {
	names := map[string]string{}
	for _, name := range slices.Concat([]string{"Content-Length", "Transfer-Encoding", envoyTimeout, envoyAttempt, loadHeader,
		notProcessedHeader, ServedHeader}, requesthead.CheckedHeaders, requesthead.RoutingHeaders) {
		names[strings.ToLower(name)] = http.CanonicalHeaderKey(name)
	}
	return names
}()

// head is a head as far as it is read.
type head struct {
	method, path, status []string
	http.Header
}

// readHead reads a header map.
func readHead(m *corev3.HeaderMap) (out head) {
	values := make([]string, 0, mostRead)
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
			name, wanted := readNames[key]
			if !wanted { // HTTP/2 allows no capitals in names, but a proxy need not mind
				if name, wanted = readNames[strings.ToLower(key)]; !wanted {
					continue
				}
			}
			if out.Header == nil {
				out.Header = make(http.Header, usualHeaders)
			}
			out.Header[name] = add(out.Header[name], value)
		}
	}
	return out
}

// one returns the value of a header that may be there once at most.
func one(values []string, name string) (value string, there bool, err error) {
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	}
	return "", true, badRequest("%s is there more than once", name)
}

// requestHead reads the head of a request.
func requestHead(m *extprocv3.HttpHeaders) (requesthead.Head, error) {
	h := readHead(m.GetHeaders())
	method, _, err := one(h.method, ":method")
	if err != nil {
		return requesthead.Head{}, err
	}
	path, _, err := one(h.path, ":path")
	if err != nil {
		return requesthead.Head{}, err
	}
	path, _, _ = strings.Cut(path, "?")
	length, chunked, err := bodyLength(h.Header, m.GetEndOfStream())
	if err != nil {
		return requesthead.Head{}, err
	}
	if _, stated := h.Header[requesthead.TimeoutHeader]; !stated {
		ms, there, err := one(h.Header[envoyTimeout], envoyTimeout)
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
	text, there, err := one(h["Content-Length"], "Content-Length")
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

// tryCount reads which of the proxy's own tries this is; 0 where it does not say.
func tryCount(h http.Header) (int, error) {
	text, there, err := one(h[envoyAttempt], envoyAttempt)
	if err != nil || !there {
		return 0, err
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > mostTries {
		return 0, badRequest("%s is no count of tries", envoyAttempt)
	}
	return n, nil
}

// subsetHint reads the endpoints to choose among: a list of texts, or one text with commas.
func subsetHint(req *extprocv3.ProcessingRequest, most int) (addrs []string, there bool, err error) {
	value, there := req.GetMetadataContext().GetFilterMetadata()[SubsetSpace].GetFields()[SubsetKey]
	if !there {
		return nil, false, nil
	}
	switch kind := value.GetKind().(type) {
	case *structpb.Value_StringValue:
		addrs = split(kind.StringValue, most)
	case *structpb.Value_ListValue:
		for _, v := range kind.ListValue.GetValues() {
			text, ok := v.GetKind().(*structpb.Value_StringValue)
			if !ok {
				return nil, true, badRequest("the subset hint holds what is no endpoint")
			}
			addrs = append(addrs, split(text.StringValue, most)...)
			if len(addrs) > most {
				break
			}
		}
	default:
		return nil, true, badRequest("the subset hint is no list of endpoints")
	}
	if len(addrs) > most {
		return nil, true, badRequest("the subset hint holds over %d endpoints", most)
	}
	return addrs, true, nil
}

// split cuts a text at its commas, into a few more than most parts at the most.
func split(text string, most int) (out []string) {
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
		if len(out) > most {
			break
		}
	}
	return out
}

// responseHead reads the head of a response; a status that can't be read is 0.
func responseHead(m *extprocv3.HttpHeaders) (http.Header, int) {
	h := readHead(m.GetHeaders())
	text, _, err := one(h.status, ":status")
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
	fields := req.GetMetadataContext().GetFilterMetadata()[MetadataSpace].GetFields()
	if served := fields[ServedHeader].GetStringValue(); served != "" {
		return served
	}
	return h.Get(ServedHeader)
}

// neverSent are the reasons in Envoy's response code details with which no byte of a request has left the proxy.
// (envoy/docs/root/configuration/http/http_conn_man/response_code_details.rst)
var neverSent = []string{"remote_connection_failure", "local_connection_failure", "connection_timeout"}

// localReply reads how the proxy itself ended the try, where its attributes tell. A reason that is not known may mean
// anything, so that the request may have run.
func localReply(req *extprocv3.ProcessingRequest, h *extprocv3.HttpHeaders) (result balancer.Result, own bool) {
	details := codeDetails(req, h)
	switch {
	case strings.HasPrefix(details, "upstream_reset_before_response_started{"),
		strings.HasPrefix(details, "upstream_reset_after_response_started{"):
		_, reason, _ := strings.Cut(details, "{")
		for _, never := range neverSent {
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
			if v, ok := group.GetFields()[detailsAttr]; ok {
				return v.GetStringValue()
			}
		}
	}
	return ""
}

// choice is a decision as a proxy is told it.
type choice struct {
	addr     string
	metadata *structpb.Struct
	valid    time.Duration // how long it may be used
	useBy    time.Time
	left     time.Duration // what is left of the client's patience
	override bool          // ask for the ends of responses
}

// endpoints holds the dynamic metadata of the endpoints that were chosen lately: a few objects a decision less. They are
// shared, and never changed.
type endpoints struct {
	mu  sync.Mutex
	all map[string]*structpb.Struct
}

const mostEndpoints = 4096 // held; then all are dropped

func (e *endpoints) of(addr string) *structpb.Struct {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m := e.all[addr]; m != nil {
		return m
	}
	if e.all == nil || len(e.all) >= mostEndpoints {
		e.all = map[string]*structpb.Struct{}
	}
	m := &structpb.Struct{Fields: map[string]*structpb.Value{
		MetadataSpace: structpb.NewStructValue(&structpb.Struct{Fields: map[string]*structpb.Value{
			DestinationHeader: structpb.NewStringValue(addr),
		}}),
	}}
	e.all[addr] = m
	return m
}

// sendEnds asks a proxy for the ends of responses.
var sendEnds = &filterv3.ProcessingMode{ResponseHeaderMode: filterv3.ProcessingMode_SEND,
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

func decision(c choice) *extprocv3.ProcessingResponse {
	p := &decisionParts{}
	for i, h := range [...]struct{ name, value string }{
		{DestinationHeader, c.addr},
		{ValidHeader, milliseconds(c.valid)},
		{UseByHeader, strconv.FormatInt(c.useBy.UnixMilli(), 10)},
		{timeoutName, milliseconds(c.left)},
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
	if c.override { // a proxy that does not allow it goes on as it was
		p.response.ModeOverride = sendEnds
	}
	return &p.response
}

// timeoutName is the header that tells a server how long the client waits.
var timeoutName = strings.ToLower(requesthead.TimeoutHeader)

func set(name, value string) *corev3.HeaderValueOption {
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
func immediate(a engine.Answer) *extprocv3.ProcessingResponse {
	var headers []*corev3.HeaderValueOption
	for _, header := range requesthead.RetryAfterHeaders(a) {
		headers = append(headers, set(strings.ToLower(header[0]), header[1]))
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

// goOn lets a response's headers go on unchanged.
var goOn = &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
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
func clip(text string) string {
	if len(text) > longestLogged {
		return text[:longestLogged] + "..."
	}
	return text
}
