package settings

import (
	"fmt"
	"time"
)

// checkBounds returns the first key whose value is out of its bounds, and an error that names them; "" and nil if none is.
func checkBounds(c countBounds, t durationBounds) (key string, err error) {
	for _, n := range c {
		if n.value < n.least || n.value > n.most {
			return n.key, fmt.Errorf("%d must be from %d to %d", n.value, n.least, n.most)
		}
	}
	for _, d := range t {
		if v := time.Duration(d.value); v < d.least || v > d.most {
			return d.key, fmt.Errorf("%v must be from %v to %v", d.value, d.least, d.most)
		}
	}
	return "", nil
}

// countBounds and durationBounds are keys with their values and the inclusive bounds of these.
type (
	countBounds []struct {
		key                string
		value, least, most int
	}
	durationBounds []struct {
		key         string
		value       Duration
		least, most time.Duration
	}
)
