// Package file is a membership source that watches a file on disk: a list of servers in the form of the platform's
// discovery (package listing).
package file

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"appleledge/internal/besteffort"
	"appleledge/internal/membership"
	"appleledge/internal/membership/listing"
)

// most is how long a file may be, in bytes: over 100,000 servers.
const most = 16 << 20

// Source watches a file. It looks at the file every Poll, by its time and size and then by its text, which holds also
// where a file is replaced by a rename or by way of a link, as configuration maps are.
type Source struct {
	Path         string
	PollInterval time.Duration
	Decoder      listing.Decoder
	Log          *slog.Logger

	seen     os.FileInfo // as of the last look that read the text
	sum      uint64      // of the last text
	known    bool        // there was one
	complain string      // the last error that was logged
}

// Run watches the file until the context ends. What can't be read or used changes nothing: the last list stands.
func (s *Source) Run(ctx context.Context, to membership.Sink) {
	t := time.NewTicker(s.PollInterval)
	defer t.Stop()
	for {
		if err := s.look(to); err != nil {
			if text := err.Error(); text != s.complain { // the same over and over must not fill the log
				s.complain = text
				s.Log.Warn("list of servers not read, keeping the last one", "file", s.Path, "error", err)
			}
			to.Disconnected(err)
		} else {
			s.complain = ""
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// look reads the file if it may have changed.
func (s *Source) look(to membership.Sink) error {
	f, err := os.Open(s.Path)
	if err != nil {
		return err
	}
	defer besteffort.Close(f)
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if s.complain == "" && s.seen != nil && os.SameFile(info, s.seen) && info.ModTime().Equal(s.seen.ModTime()) && info.Size() == s.seen.Size() {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err != nil {
		return err
	}
	if len(text) > most {
		return fmt.Errorf("%s holds more than %d bytes", s.Path, most)
	}
	sum := xxhash.Sum64(text)
	if s.known && sum == s.sum && s.complain == "" {
		s.seen = info
		return nil
	}
	u, err := s.read(text)
	if err != nil {
		return err
	}
	s.seen, s.sum, s.known = info, sum, true
	to.Update(u)
	return nil
}

// read makes an update of a file's text. One bad entry refuses the file: it is written by hand or by a tool, which is to
// be told, and half of a list is none.
func (s *Source) read(text []byte) (u membership.Update, err error) {
	l, err := listing.Parse(text)
	if err != nil {
		return u, fmt.Errorf("%s: %w", s.Path, err)
	}
	if l.Servers == nil {
		return u, fmt.Errorf("%s: no \"servers\"; an empty list is written as \"servers\": []", s.Path)
	}
	members, bad := s.Decoder.Decode(l)
	if len(bad) > 0 {
		return u, fmt.Errorf("%s: server %q: %w", s.Path, bad[0].ID, bad[0].Err)
	}
	return membership.Update{Full: true, Members: members}, nil
}
