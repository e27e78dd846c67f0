// Package boottime tells which boot of the machine this is, and the time since. All processes of the machine have the same, and setting the wall
// clock changes neither, so that times which one process has stored or sent mean the same to another. Times of another boot mean nothing.
package boottime

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDPath is a file that names the present boot of the machine (proc(5)).
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Read returns the id of the machine's present boot and the time since.
func Read() (bootID string, now time.Duration, err error) {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return "", 0, err
	}
	if now, err = Since(); err != nil {
		return "", 0, err
	}
	return strings.TrimSpace(string(id)), now, nil
}

// Since returns the time since the machine's boot, by clock_gettime(2)'s CLOCK_BOOTTIME.
func Since() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("reading the time since the machine has started: %w", err)
	}
	return time.Duration(t.Nano()), nil
}
