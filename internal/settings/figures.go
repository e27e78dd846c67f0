package settings

import "time"

// Figures is the section [figures]: what the agent counts, as a line of its log every so often.
type Figures struct {
	Every Duration `toml:"every"`
}

// DefaultFigures is the section with nothing set.
func DefaultFigures() Figures { return Figures{Every: Duration(10 * time.Second)} }

func (f *Figures) check() (key string, err error) {
	return checkBounds(nil, durationBounds{{"every", f.Every, 100 * time.Millisecond, time.Hour}})
}
