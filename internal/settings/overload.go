package settings

import (
	"errors"
	"time"
)

// Overload is the section [overload]: agents handle overload together, by what they tell each other of it.
type Overload struct {
	Remember int      `toml:"remember"`  // requests that were not served, to know their repeats by
	LogEvery Duration `toml:"log_every"` // between two lines while some are refused; changes are logged at once
}

// DefaultOverload is the section with nothing set.
func DefaultOverload() Overload {
	return Overload{Remember: 4096, LogEvery: Duration(10 * time.Second)}
}

func (o *Overload) check() (key string, err error) {
	return checkBounds(countBounds{{"remember", o.Remember, 1, 1 << 20}}, durationBounds{{"log_every", o.LogEvery, time.Second, time.Hour}})
}

// checkOverloadRequirements says how the section fits the others.
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
