package settings

import (
	"errors"
	"time"
)

// Recovery is the section [recovery]: snapshots that survive a loss of power, and the recovery ramp that starts from them.
type Recovery struct {
	Dir      string   `toml:"dir"`       // directory of the snapshots; one for each agent
	RunFile  string   `toml:"run_file"`  // file with the machine's boot id; a change counts as a loss of power
	Every    Duration `toml:"every"`     // interval of writes; a drain or a denied server is written at once
	ListWait Duration `toml:"list_wait"` // how long a start waits for the endpoint list, before the snapshot's servers are used
	LogEvery Duration `toml:"log_every"` // interval of the log line during a recovery; changes are logged at once
}

// DefaultRecovery returns the section's defaults. Dir has none.
func DefaultRecovery() Recovery {
	return Recovery{RunFile: "/proc/sys/kernel/random/boot_id", Every: Duration(2 * time.Second), ListWait: Duration(150 * time.Millisecond),
		LogEvery: Duration(10 * time.Second)}
}

func (r *Recovery) check() (key string, err error) {
	if r.Dir == "" {
		return "dir", errors.New("it must name a folder that lasts, such as \"/var/lib/appleledge/recovery\"")
	}
	if r.RunFile == "" {
		return "run_file", errors.New("it must name a file, such as \"/proc/sys/kernel/random/boot_id\"")
	}
	return checkBounds(nil, durationBounds{{"every", r.Every, 100 * time.Millisecond, time.Hour}, {"list_wait", r.ListWait, 0, 10 * time.Second},
		{"log_every", r.LogEvery, time.Second, time.Hour}})
}
