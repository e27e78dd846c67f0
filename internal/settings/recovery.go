package settings

import (
	"errors"
	"time"
)

// Recovery is the section [recovery]: what the agent knows is kept over a loss of power, and service returns by it.
type Recovery struct {
	Dir      string   `toml:"dir"`       // folder that keeps it; one for each agent
	RunFile  string   `toml:"run_file"`  // names the present run of the machine; what changes it is taken for a loss of power
	Every    Duration `toml:"every"`     // between two writes of what changes all the time; a drain or a ban is written at once
	ListWait Duration `toml:"list_wait"` // for which the list is waited for at a start, before the servers from before are used
	LogEvery Duration `toml:"log_every"` // between two lines while service has not returned; changes are logged at once
}

// DefaultRecovery is the section with nothing set.
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
