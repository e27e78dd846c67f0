package extproc

import (
	"errors"
	"net/http"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"

	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
)

// overwriteHeader returns the mutation that sets a header, in place of one that is there.
func overwriteHeader(name, value string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: name, RawValue: []byte(value)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD}
}

var answerStatuses = [...]int{engine.Served: http.StatusConflict, engine.Rejected: http.StatusServiceUnavailable,
	engine.Failed: http.StatusBadGateway, engine.Conflict: http.StatusConflict}

var answerTexts = [...]string{engine.Served: "served elsewhere", engine.Rejected: "refused: trying again is harmless",
	engine.Failed: "failed: it may have run", engine.Conflict: "another request is open under this id"}

// immediateAnswer returns the response with which the agent itself answers a request.
func immediateAnswer(a engine.Answer) *extprocv3.ProcessingResponse {
	var headers []*corev3.HeaderValueOption
	for _, header := range requesthead.RetryAfterHeaders(a) {
		headers = append(headers, overwriteHeader(strings.ToLower(header[0]), header[1]))
	}
	return immediateResponse(answerStatuses[a.Kind], answerTexts[a.Kind], headers)
}

// immediateError returns the response to an invalid request: the status of a BadRequestError, else 400.
func immediateError(err error) *extprocv3.ProcessingResponse {
	code := http.StatusBadRequest
	if b, ok := errors.AsType[requesthead.BadRequestError](err); ok {
		code = b.Status
	}
	return immediateResponse(code, err.Error(), nil)
}

// immediateResponse returns the message that makes the proxy answer the client itself.
func immediateResponse(code int, text string, headers []*corev3.HeaderValueOption) *extprocv3.ProcessingResponse {
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ImmediateResponse{
		ImmediateResponse: &extprocv3.ImmediateResponse{
			Status:  &typev3.HttpStatus{Code: typev3.StatusCode(code)},
			Headers: &extprocv3.HeaderMutation{SetHeaders: headers},
			Body:    []byte(text + "\n"),
			Details: "appleledge",
		}}}
}

// continueResponseHeaders makes the proxy forward a response's headers unchanged. It is shared and must not be changed.
var continueResponseHeaders = &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
	ResponseHeaders: &extprocv3.HeadersResponse{}}}

// continueBody makes the proxy forward a part of a body unchanged. In full duplex mode the processor must send it back.
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

// continueTrailers makes the proxy forward trailers unchanged.
func continueTrailers(ofResponse bool) *extprocv3.ProcessingResponse {
	trailers := &extprocv3.TrailersResponse{}
	if ofResponse {
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseTrailers{ResponseTrailers: trailers}}
	}
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestTrailers{RequestTrailers: trailers}}
}
