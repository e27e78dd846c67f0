package admin

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/net/netutil"

	"appleledge/internal/besteffort"
	"appleledge/internal/plan"
	"appleledge/internal/unixsocket"
)

const (
	maxConnections  = 4                // further ones wait
	requestTimeout  = 10 * time.Second // for a request to arrive, and for the last ones to end at shutdown
	responseTimeout = 3 * requestTimeout
	maxHeaderBytes  = 8 << 10
	maxBodyBytes    = plan.MaxBytes + 4096
)

// MaxDescriptors is how many file descriptors a Server needs at most: its connections, and some for the socket and the state's files.
const MaxDescriptors = maxConnections + 4

// Listen opens the operators' socket, for the agent's user alone. A socket that a crashed process has left is replaced; one behind
// which a process answers is an error, as is a file of another kind.
func Listen(path string) (net.Listener, error) {
	if _, err := os.Lstat(path); err == nil {
		c, err := net.Dial("unix", path)
		if err == nil {
			besteffort.Close(c)
			return nil, fmt.Errorf("%s: another process listens there", path)
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return nil, fmt.Errorf("%s is there and is no socket of ours: %w", path, err)
		}
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
	}
	l, err := unixsocket.Listen(path)
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Server answers operators' calls.
type Server struct {
	Changes *ChangeManager
	Log     *slog.Logger
}

// Serve answers calls until the context ends; calls that are under way then have requestTimeout to end. It closes l.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: s.handler(), ReadTimeout: requestTimeout, WriteTimeout: responseTimeout, IdleTimeout: requestTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelWarn)} // a misbehaving client must not flood the log
	stop := context.AfterFunc(ctx, func() {
		shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		defer cancel()
		if srv.Shutdown(shutdown) != nil {
			besteffort.Close(srv)
		}
	})
	defer stop()
	s.Log.Info("operators' socket open", "path", l.Addr().String())
	if err := srv.Serve(netutil.LimitListener(l, maxConnections)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving operators: %w", err)
	}
	return nil
}
