package settings

import (
	"errors"
	"path/filepath"
)

// Generations is the section [generations]: configurations of the fleet that operators plan and apply.
type Generations struct {
	Socket string `toml:"socket"` // where operators connect: a Unix socket
	State  string `toml:"state"`  // file that keeps the configuration over a restart; empty: nothing is kept
}

// maxSocketPathLength is how long the path of a Unix socket may be (unix(7): sun_path has 108 bytes, with its end).
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
