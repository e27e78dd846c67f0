package bindinglog

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDPath is a file that names the present boot of the machine (proc(5)).
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// BootTime returns the id of the machine's present boot and the time since, by clock_gettime(2)'s CLOCK_BOOTTIME: setting the wall clock
// does not change it, and all processes of the machine have the same.
func BootTime() (bootID string, now time.Duration, err error) {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return "", 0, err
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return "", 0, fmt.Errorf("reading the time since the machine has started: %w", err)
	}
	return strings.TrimSpace(string(id)), time.Duration(t.Nano()), nil
}
