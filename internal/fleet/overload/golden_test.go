package overload

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// goldenBody has a record of each kind. Its rates are powers of two, which the form holds exactly.
var goldenBody = Body{
	Busy: true,
	Digests: []Digest{
		{Agent: 0x0102, Age: 350 * time.Millisecond, First: []float64{0.125, 0.25, 0.5}, Again: []float64{1, 2, 4}, Tenants: []float64{8, 16},
			All: 32, LetIn: 64, Open: 128, Extra: 256, Good: 512, Late: 1024},
		{Agent: 0x0304, Age: 12750 * time.Millisecond, First: []float64{2048}, Again: []float64{4096}, Tenants: []float64{1024, 512, 256},
			All: 128, LetIn: 64, Open: 32, Extra: 16, Good: 8, Late: 4},
	},
	Reports: []Report{{Server: 0x11121314, Use: 0.4, Capacity: 2048, Age: 600 * time.Millisecond}},
	Voices:  []Voice{{Server: 0x21222324, Agent: 0x2526, Age: 850 * time.Millisecond}},
}

// A body has the committed bytes, and these are read as what they were made of.
func TestGoldenBody(t *testing.T) {
	golden.Equal(t, "fleet/share/body.bin", goldenBody.append(nil))
	got, err := parse(golden.Read(t, "fleet/share/body.bin"))
	if err != nil || !reflect.DeepEqual(got, goldenBody) {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// Rates, ages and uses have the bytes that they had, and the names of servers too.
func TestGoldenCodes(t *testing.T) {
	var b bytes.Buffer
	for code := range 256 {
		rate := rateOf(byte(code))
		fmt.Fprintf(&b, "code %d rate %.6g %d %d age %v %d use %d\n", code, rate, rateCode(rate), rateCode(rate*1.03), ageOf(byte(code)),
			ageCode(time.Duration(code)*130*time.Millisecond), useCode(float64(code)/200))
	}
	for _, id := range []string{"", "s-1", "edinburgh/7"} {
		fmt.Fprintf(&b, "server %q %08x\n", id, Server(id))
	}
	golden.Equal(t, "fleet/share/codes.txt", b.Bytes())
}

// What a door tells of what it was asked and heard has the committed bytes, and that is read whole.
func TestGoldenTold(t *testing.T) {
	d := door(4)
	const now = 10 * time.Second
	d.picture.take(now, 1, goldenBodyFrom(1))
	body, to := d.Tell(now+time.Second, 200)
	golden.Equal(t, "fleet/share/told.bin", append([]byte{byte(to)}, body...))
	text := golden.Read(t, "fleet/share/told.bin")[1:]
	got, err := parse(text)
	if err != nil || len(got.Digests) != 2 || len(got.Reports) != 0 || len(got.Voices) != 0 || !bytes.Equal(got.append(nil), text) {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// goldenBodyFrom is a body that an agent of a small fleet would send.
func goldenBodyFrom(agent int) Body {
	return Body{Digests: []Digest{{Agent: agent, Age: 100 * time.Millisecond, First: []float64{16, 8}, Again: []float64{4, 2}, Tenants: []float64{16, 8},
		All: 32, LetIn: 24, Open: 6, Extra: 1, Good: 20, Late: 3}},
		Reports: []Report{{Server: 0x11121314, Use: 0.4, Capacity: 64, Age: 100 * time.Millisecond}},
		Voices:  []Voice{{Server: 0x21222324, Agent: agent, Age: 50 * time.Millisecond}}}
}
