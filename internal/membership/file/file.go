// Package file is the membership source that watches a file on disk: an endpoint list in the form of package listing.
//
// A file that can't be read or used changes nothing: the last list stays in force, the source counts as disconnected, and the reason is
// logged once. Nothing is stored.
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

// maxFileBytes bounds the file: over 100,000 servers.
const maxFileBytes = 16 << 20

// Source watches a file. It polls every PollInterval, by the file's time and size and then by a hash of its text, which holds also where
// the file is replaced by a rename or by way of a link, as Kubernetes replaces configuration maps.
type Source struct {
	Path         string
	PollInterval time.Duration
	Decoder      listing.Decoder
	Log          *slog.Logger

	// Of the goroutine in Run:
	lastInfo  os.FileInfo // of the last poll that read the text
	lastHash  uint64      // of the last text that was used
	hasRead   bool        // there was one
	lastError string      // the last one that was logged; empty while the file can be used
}

// Run watches the file until the context ends. It is called once.
func (s *Source) Run(ctx context.Context, to membership.Sink) {
	ticker := time.NewTicker(s.PollInterval)
	defer ticker.Stop()
	for {
		if err := s.poll(to); err != nil {
			if text := err.Error(); text != s.lastError { // else a broken file would fill the log
				s.lastError = text
				s.Log.Warn("list of servers not read, keeping the last one", "file", s.Path, "error", err)
			}
			to.Disconnected(err)
		} else {
			s.lastError = ""
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the file if it may have changed. After an error it is read again, and reported even if it is as before: that ends the
// disconnection.
func (s *Source) poll(to membership.Sink) error {
	f, err := os.Open(s.Path)
	if err != nil {
		return err
	}
	defer besteffort.Close(f)
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if s.lastError == "" && s.lastInfo != nil && os.SameFile(info, s.lastInfo) && info.ModTime().Equal(s.lastInfo.ModTime()) && info.Size() == s.lastInfo.Size() {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return err
	}
	if len(text) > maxFileBytes {
		return fmt.Errorf("%s holds more than %d bytes", s.Path, maxFileBytes)
	}
	sum := xxhash.Sum64(text)
	if s.hasRead && sum == s.lastHash && s.lastError == "" {
		s.lastInfo = info
		return nil
	}
	u, err := s.decode(text)
	if err != nil {
		return err
	}
	s.lastInfo, s.lastHash, s.hasRead = info, sum, true
	to.Update(u)
	return nil
}

// decode makes an update of a file's text. One invalid entry rejects the whole file: it is written by hand or by a tool, whose owner is
// to hear of the mistake, and half of a list would look as if the other half had been removed.
func (s *Source) decode(text []byte) (u membership.Update, err error) {
	l, err := listing.Parse(text)
	if err != nil {
		return u, fmt.Errorf("%s: %w", s.Path, err)
	}
	if l.Servers == nil {
		return u, fmt.Errorf("%s: no \"servers\"; an empty list is written as \"servers\": []", s.Path)
	}
	members, invalid := s.Decoder.Decode(l)
	if len(invalid) > 0 {
		return u, fmt.Errorf("%s: server %q: %w", s.Path, invalid[0].ID, invalid[0].Err)
	}
	return membership.Update{Full: true, Members: members}, nil
}
