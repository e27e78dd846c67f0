package settings

import "time"

// Storm is the section [storm]: admission control, which detects retry storms and limits what is admitted during them.
type Storm struct {
	Remember int      `toml:"remember"`  // largest number of unserved requests by which retries are recognized
	LogEvery Duration `toml:"log_every"` // interval of the log line while the state isn't normal; changes are logged at once
}

// DefaultStorm returns the section's defaults.
func DefaultStorm() Storm { return Storm{Remember: 4096, LogEvery: Duration(10 * time.Second)} }

func (s *Storm) check() (key string, err error) {
	return checkBounds(countBounds{{"remember", s.Remember, 1, 1 << 20}}, durationBounds{{"log_every", s.LogEvery, time.Second, time.Hour}})
}
