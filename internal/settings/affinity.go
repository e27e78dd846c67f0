package settings

import "time"

// Affinity is the section [affinity]: it is remembered where keyed requests went, so that repeats go to the same pod.
type Affinity struct {
	Dir    string   `toml:"dir"`    // folder that keeps it over a restart; empty: nothing does
	Sync   bool     `toml:"sync"`   // to the disk itself, so that it survives a machine that stops
	Most   int      `toml:"most"`   // ties
	Tail   Duration `toml:"tail"`   // for which a tie lasts after its window
	Budget Duration `toml:"budget"` // for which an attempt waits until its tie is kept
}

// DefaultAffinity is the section with nothing set.
func DefaultAffinity() Affinity {
	return Affinity{Most: 16384, Tail: Duration(10 * time.Second), Budget: Duration(2 * time.Millisecond)}
}

func (a *Affinity) check() (key string, err error) {
	return checkBounds(countBounds{{"most", a.Most, 1, 1 << 20}},
		durationBounds{{"tail", a.Tail, 0, time.Hour}, {"budget", a.Budget, 100 * time.Microsecond, 5 * time.Second}})
}
