package platform

import (
	"errors"
	"fmt"
	"time"

	"appleledge/internal/membership"
	"appleledge/internal/membership/listing"
)

// maxUnreadableInRow is how many answers in a row may be unreadable before the whole list is asked for.
const maxUnreadableInRow = 2

// receive takes what came of an open call. An error says that the call failed, or that its list can't be used. What an earlier address
// still says counts until the present one has sent a list.
func (d *Discovery) receive(r response) (err error) {
	c := r.call
	d.open.remove(c)
	if c.session != d.session && d.heldVersion >= 0 {
		return nil
	}
	if err := d.handleResponse(r); err != nil {
		d.failedCalls.Add(1)
		d.callLog.failed(c.callRecord, err)
		return err
	}
	if c.session == d.session && d.heldVersion >= 0 {
		for _, earlier := range d.open.ofEarlierSessions(d.session) {
			d.giveUp(earlier, "another address has answered")
		}
	}
	return nil
}

// handleResponse applies a response to the session of its call.
func (d *Discovery) handleResponse(r response) error {
	c, s := r.call, r.call.session
	if errors.Is(r.err, errUnreadable) {
		d.unreadableResponses.Add(1)
		if s.unreadableInRow++; s.unreadableInRow >= maxUnreadableInRow {
			s.watchVersion = -1
		}
	}
	if r.err != nil {
		return r.err
	}
	d.callLog.answered(c.callRecord, r.list.Version, s.heldVersion, r.list.Full, len(r.list.Servers))
	d.open.noteAnswer(c, time.Now())
	if s == d.session {
		d.adoptServerClock(r.date)
	}
	s.unreadableInRow, s.isFirstCallAfterMove = 0, false
	d.hasAnswered.Store(true)
	if err := d.applyList(s, r.list, c.since); err != nil {
		return fmt.Errorf("%w: %w", errPossiblyMissed, err)
	}
	return nil
}

// applyList delivers a list that is not older than the one held; since is the version from which on changes were asked for, -1 for the whole
// list. A discovery that answers a whole-list call with changes, goes back in its versions, or counts anew without saying so is an error:
// its changes are not those of the list that is held. An answer that others have overtaken is none.
func (d *Discovery) applyList(s *session, l listing.List, since int64) error {
	if since < 0 && !l.Full {
		return errors.New("discovery answered a call for the whole list with changes")
	}
	if !l.Full && s.heldVersion < 0 && l.Version < since {
		s.watchVersion = -1
		return fmt.Errorf("discovery counts from version %d, the known list is of %d", l.Version, d.cachedList.Version)
	}
	if !l.Full && l.Version < s.heldVersion && l.Version < since {
		return fmt.Errorf("discovery went back from version %d to %d", s.heldVersion, l.Version)
	}
	if s.isUnreachable {
		s.isUnreachable = false
		d.log.Info("discovery is back", "version", l.Version)
	}
	if l.Version < s.heldVersion || l.Version == s.heldVersion && !l.Full {
		return nil // what is held is newer
	}
	s.needsFullList = s.needsFullList && !l.Full
	if s.watchVersion = l.Version; s.heldVersion < 0 && !l.Full && len(l.Servers) == 0 {
		s.heldVersion = l.Version // the cached list is up to date
		return nil
	}
	u := d.decodeUpdate(l)
	if l.Version != s.heldVersion { // else a discovery that repeats one list would fill the log
		d.log.Info("list of backends", "version", l.Version, "full", l.Full, "entries", len(l.Servers))
	}
	s.heldVersion, d.hasEndpoints, d.cachedListAt = l.Version, true, time.Time{}
	d.sink.Update(u)
	return nil
}

// decodeUpdate decodes a list. An invalid entry is skipped, and its endpoint retained: left out of a whole list, it would look as if
// the endpoint had been removed.
func (d *Discovery) decodeUpdate(l listing.List) membership.Update {
	members, invalid := d.decoder.Decode(l)
	u := membership.Update{Full: l.Full, Members: members}
	for _, entry := range invalid {
		if !d.hasLoggedInvalidEntry {
			d.hasLoggedInvalidEntry = true
			d.log.Warn("passing over a malformed list entry; further ones are not logged", "entry", entry.ID, "error", entry.Err)
		}
		u.Retained = append(u.Retained, entry.ID)
	}
	return u
}
