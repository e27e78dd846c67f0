package extproc

import (
	"errors"
	"log/slog"
	"net/http"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"appleledge/internal/balancer"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/upstream/connpool"
)

// FuzzProcessingRequest feeds what a proxy may send to all that reads it. Nothing panics; what is refused is refused
// with a 4xx; and what is accepted keeps to the limits on which the engine relies.
func FuzzProcessingRequest(f *testing.F) {
	for _, m := range []*extprocv3.ProcessingRequest{
		request{id: "9b1f03aa5c7e2d41", class: "refund-record", hint: list("127.0.0.1:1000", "127.0.0.1:1001")}.message(),
		request{id: "1", class: "form-check", hint: structpb.NewStringValue("a,b")}.message(),
		whole("200", "x-server-load", "util=0.5,qps=3,eps=0", ServedHeader, "127.0.0.1:1000"),
		ownReply("upstream_reset_before_response_started{connection_timeout}"),
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	site, clock := testSite(f), engine.NewClock()
	pool := connpool.New(time.Second, time.Second, 10)
	pool.Update(true, []engine.Member{member(0, balancer.Ready), member(1, balancer.Ready)})
	s := &Server{Options: Options{Settings: testSet(), Clock: clock, Pool: pool, ReportFields: site.ReportFields,
		Rules: requesthead.Rules{Classes: site.Balancer.Classes, Tenants: site.Tenants}, Log: slog.New(slog.DiscardHandler)}}
	f.Fuzz(func(t *testing.T, data []byte) {
		var req extprocv3.ProcessingRequest
		if proto.Unmarshal(data, &req) != nil {
			return
		}
		if h := req.GetRequestHeaders(); h != nil {
			began := clock.Now()
			call, err := s.parseRequest(&req, h)
			if err != nil {
				bad, ok := errors.AsType[requesthead.BadRequestError](err)
				if !ok || bad.Status < 400 || bad.Status >= 500 || bad.Status == http.StatusTooManyRequests {
					t.Errorf("refused with %#v", err)
				}
				if got := immediateError(err).GetImmediateResponse().GetStatus().GetCode(); int(got) != bad.Status {
					t.Errorf("%d is answered with %d", bad.Status, got)
				}
				return
			}
			class := site.Balancer.Classes[call.Class]
			if call.ID == "" || len(call.ID) > 128 || call.Deadline <= began || call.Deadline > clock.Now()+class.Deadline ||
				class.Effect == balancer.IdempotentByKey && (call.IdempotencyKey == "" || call.IdempotencyWindow != class.DedupWindow) || len(call.Candidates) > 2 {
				t.Errorf("accepted %+v", call)
			}
		}
		if h := req.GetResponseHeaders(); h != nil {
			header, code := parseResponseHead(h)
			if code != 0 && (code < 100 || code > 999) {
				t.Errorf("status %d", code)
			}
			localReplyResult(&req, h)
			servedBy(&req, header)
		}
	})
}
