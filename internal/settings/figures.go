package settings

import "time"

// Figures is the section [figures]: the agent's statistics as a log line at intervals, which package logstats adds up.
type Figures struct {
	Every Duration `toml:"every"`
}

// DefaultFigures returns the section's defaults.
func DefaultFigures() Figures { return Figures{Every: Duration(10 * time.Second)} }

func (f *Figures) check() (key string, err error) {
	return checkBounds(nil, durationBounds{{"every", f.Every, 100 * time.Millisecond, time.Hour}})
}
