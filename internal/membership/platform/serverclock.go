package platform

import (
	"net/http"
	"time"
)

// maxClockSkew is how far the own wall clock may be off before start times are corrected. A Date is exact to a second.
const maxClockSkew = 3 * time.Second

// adoptServerClock takes discovery's clock from the date of its first answer at this address (RFC 9110, section 6.6.1). Start times are
// of its clock: after a loss of power the own one may be at 1970, and a server that has just started would look as if it had run
// for an hour, or had yet to start. Later dates change nothing, as each change would look like a restart of every server.
func (d *Discovery) adoptServerClock(date string) {
	if !d.usesServerClock || d.hasServerTime {
		return
	}
	t, err := http.ParseTime(date)
	if err != nil {
		return
	}
	d.hasServerTime, d.decoder.ClockOffset = true, 0
	clock := d.decoder.Clock
	if skew := t.Add(time.Second / 2).Sub(clock.At(clock.Now())); skew.Abs() > maxClockSkew {
		d.decoder.ClockOffset = skew
		d.log.Warn("the wall clock is off: starts of servers are told by discovery's", "off", -skew.Round(time.Second))
	}
}
