package settings

import (
	"errors"
	"time"
)

// Overload is the section [overload]: fleet-wide overload control, by load reports that agents gossip.
type Overload struct {
	Remember int      `toml:"remember"`  // largest number of unserved requests by which retries are recognized
	LogEvery Duration `toml:"log_every"` // interval of the log line while requests are rejected; changes are logged at once
}

// DefaultOverload returns the section's defaults.
func DefaultOverload() Overload {
	return Overload{Remember: 4096, LogEvery: Duration(10 * time.Second)}
}

func (o *Overload) check() (key string, err error) {
	return checkBounds(countBounds{{"remember", o.Remember, 1, 1 << 20}}, durationBounds{{"log_every", o.LogEvery, time.Second, time.Hour}})
}

// checkOverloadRequirements checks which other sections [overload] requires and excludes.
func (f File) checkOverloadRequirements() error {
	switch {
	case f.Overload == nil:
		return nil
	case f.Peers == nil:
		return errors.New("it needs the section [peers], by which agents tell each other of overload")
	case f.Storm != nil:
		return errors.New("it has a watch for storms of its own: leave the section [storm] out")
	}
	return nil
}
