package overload

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// goldenPayload has a record of each kind. Its rates are powers of two, which the format holds exactly.
var goldenPayload = Payload{
	IsBusy: true,
	Digests: []LoadDigest{
		{Agent: 0x0102, Age: 350 * time.Millisecond, NewRequests: []float64{0.125, 0.25, 0.5}, ClientRetries: []float64{1, 2, 4}, Tenants: []float64{8, 16},
			Requests: 32, Admitted: 64, InFlight: 128, ExtraAttempts: 256, ServedInTime: 512, LateOrFailed: 1024},
		{Agent: 0x0304, Age: 12750 * time.Millisecond, NewRequests: []float64{2048}, ClientRetries: []float64{4096}, Tenants: []float64{1024, 512, 256},
			Requests: 128, Admitted: 64, InFlight: 32, ExtraAttempts: 16, ServedInTime: 8, LateOrFailed: 4},
	},
	Reports:      []LoadReport{{Server: 0x11121314, Utilization: 0.4, Capacity: 2048, Age: 600 * time.Millisecond}},
	Observations: []Observation{{Server: 0x21222324, Agent: 0x2526, Age: 850 * time.Millisecond}},
}

// A payload has the committed bytes, and these are read as the payload that they were made of.
func TestGoldenPayload(t *testing.T) {
	golden.Equal(t, "fleet/share/body.bin", goldenPayload.appendTo(nil))
	got, err := parsePayload(golden.Read(t, "fleet/share/body.bin"))
	if err != nil || !reflect.DeepEqual(got, goldenPayload) {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// The bytes of rates, ages and utilizations, and the numbers that name servers, are part of the wire format and never change.
func TestGoldenCodes(t *testing.T) {
	var b bytes.Buffer
	for code := range 256 {
		rate := decodeRate(byte(code))
		fmt.Fprintf(&b, "code %d rate %.6g %d %d age %v %d use %d\n", code, rate, encodeRate(rate), encodeRate(rate*1.03), decodeAge(byte(code)),
			encodeAge(time.Duration(code)*130*time.Millisecond), encodeUtilization(float64(code)/200))
	}
	for _, id := range []string{"", "s-1", "edinburgh/7"} {
		fmt.Fprintf(&b, "server %q %08x\n", id, ServerID(id))
	}
	golden.Equal(t, "fleet/share/codes.txt", b.Bytes())
}

// What NextPayload returns after another agent's payload was handled has the committed bytes, and these are read completely.
func TestGoldenNextPayload(t *testing.T) {
	d := newController(4)
	const now = 10 * time.Second
	d.view.applyPayload(now, 1, goldenPayloadFrom(1))
	payload, to := d.NextPayload(now+time.Second, 200)
	golden.Equal(t, "fleet/share/told.bin", append([]byte{byte(to)}, payload...))
	text := golden.Read(t, "fleet/share/told.bin")[1:]
	got, err := parsePayload(text)
	if err != nil || len(got.Digests) != 2 || len(got.Reports) != 0 || len(got.Observations) != 0 || !bytes.Equal(got.appendTo(nil), text) {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// goldenPayloadFrom is a payload that an agent of a small fleet would send.
func goldenPayloadFrom(agent int) Payload {
	return Payload{Digests: []LoadDigest{{Agent: agent, Age: 100 * time.Millisecond, NewRequests: []float64{16, 8}, ClientRetries: []float64{4, 2}, Tenants: []float64{16, 8},
		Requests: 32, Admitted: 24, InFlight: 6, ExtraAttempts: 1, ServedInTime: 20, LateOrFailed: 3}},
		Reports:      []LoadReport{{Server: 0x11121314, Utilization: 0.4, Capacity: 64, Age: 100 * time.Millisecond}},
		Observations: []Observation{{Server: 0x21222324, Agent: agent, Age: 50 * time.Millisecond}}}
}
