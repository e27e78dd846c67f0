package settings

import (
	"fmt"
	"net"
)

// Telemetry is the section [telemetry]: metrics in Prometheus' text format.
type Telemetry struct {
	Listen string `toml:"listen"` // host and port
}

func (t *Telemetry) check() (key string, err error) {
	if _, _, err := net.SplitHostPort(t.Listen); err != nil {
		return "listen", fmt.Errorf("%q is no address; write host and port, such as \"127.0.0.1:9100\"", t.Listen)
	}
	return "", nil
}
