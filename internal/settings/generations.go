package settings

import (
	"errors"
	"path/filepath"
)

// Generations is the section [generations]: fleet configurations that operators plan and apply.
type Generations struct {
	Socket string `toml:"socket"` // path of the Unix socket for operators
	State  string `toml:"state"`  // file in which the configuration survives a restart; empty: none
}

// maxSocketPathLength is in bytes (unix(7): sun_path has 108, with the terminating null byte).
const maxSocketPathLength = 107

func (g *Generations) check() (key string, err error) {
	if g.Socket == "" || len(g.Socket) > maxSocketPathLength {
		return "socket", errors.New("it must name a path of 1 to 107 bytes, such as \"/run/appleledge/admin.sock\"")
	}
	if g.State != "" && filepath.Clean(g.State) == filepath.Clean(g.Socket) {
		return "state", errors.New("it must not be the socket's path")
	}
	return "", nil
}
