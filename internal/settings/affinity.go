package settings

import "time"

// Affinity is the section [affinity]: sticky bindings of idempotency keys to pods, so that retries go to the same pod.
type Affinity struct {
	Dir    string   `toml:"dir"`    // directory of the log that survives a restart; empty: no log
	Sync   bool     `toml:"sync"`   // sync the log to disk, so that it survives a loss of power
	Most   int      `toml:"most"`   // largest number of bindings
	Tail   Duration `toml:"tail"`   // how long a binding lasts after its idempotency window
	Budget Duration `toml:"budget"` // how long an attempt waits for its binding to be written
}

// DefaultAffinity returns the section's defaults.
func DefaultAffinity() Affinity {
	return Affinity{Most: 16384, Tail: Duration(10 * time.Second), Budget: Duration(2 * time.Millisecond)}
}

func (a *Affinity) check() (key string, err error) {
	return checkBounds(countBounds{{"most", a.Most, 1, 1 << 20}},
		durationBounds{{"tail", a.Tail, 0, time.Hour}, {"budget", a.Budget, 100 * time.Microsecond, 5 * time.Second}})
}
