package settings

import "time"

// Storm is the section [storm]: retry storms are noticed, and who is let in while they last is limited.
type Storm struct {
	Remember int      `toml:"remember"`  // requests that were not served, to know their repeats by
	LogEvery Duration `toml:"log_every"` // between two lines while it is not calm; changes are logged at once
}

// DefaultStorm is the section with nothing set.
func DefaultStorm() Storm { return Storm{Remember: 4096, LogEvery: Duration(10 * time.Second)} }

func (s *Storm) check() (key string, err error) {
	return checkBounds(countBounds{{"remember", s.Remember, 1, 1 << 20}}, durationBounds{{"log_every", s.LogEvery, time.Second, time.Hour}})
}
