package platform

import (
	"errors"
	"fmt"
	"time"

	"appleledge/internal/membership"
	"appleledge/internal/membership/listing"
)

// minProcessAnswers is how many answers show that discovery keeps its connections.
const minProcessAnswers = 2

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
	if err := d.applyList(s, r); err != nil {
		return fmt.Errorf("%w: %w", errPossiblyMissed, err)
	}
	return nil
}

// applyList delivers a list that is not older than the one held. A discovery that answers a whole-list call with changes, goes back in its versions, or counts anew without saying so is an error:
// its changes are not those of the list that is held. An answer that others have overtaken is none. Another process at the same address may
// count anew: its whole list is asked for, and taken.
func (d *Discovery) applyList(s *session, r response) error {
	l, since := r.list, r.call.since
	if since < 0 && !l.Full {
		return errors.New("discovery answered a call for the whole list with changes")
	}
	if r.call.number < s.firstCall {
		return nil
	}
	if isPassedOver, err := d.passesOverOwn(s, l); isPassedOver || err != nil {
		return err
	}
	if s.checkAdopted(r) {
		return nil
	}
	if err := d.checkProcess(s, r); err != nil {
		return err
	}
	if !l.Full && s.heldVersion < 0 && l.Version < since {
		s.watchVersion = -1
		return fmt.Errorf("discovery counts from version %d, the known list is of %d", l.Version, d.cachedList.Version)
	}
	if !l.Full && l.Version < s.heldVersion && l.Version < since {
		return fmt.Errorf("discovery went back from version %d to %d", s.heldVersion, l.Version)
	}
	wasUnreachable, held := s.isUnreachable, s.heldVersion
	s.isUnreachable = false
	s.needsFullList = s.needsFullList && !l.Full
	if l.Version < held || l.Version == held && !l.Full { // what is held is newer
		d.logList(l, wasUnreachable, false)
		return nil
	}
	if s.watchVersion = l.Version; held < 0 && !l.Full && len(l.Servers) == 0 { // the cached list is up to date
		s.heldVersion = l.Version
		d.noteAnswered(s, r)
		d.noteDelivered()
		d.logList(l, wasUnreachable, false)
		return nil
	}
	s.heldVersion, d.hasEndpoints, d.cachedListAt = l.Version, true, time.Time{}
	d.noteAnswered(s, r)
	d.deliver(l)
	d.logList(l, wasUnreachable, l.Version != held) // a discovery that repeats one list would fill the log
	return nil
}

// checkProcess prepares the session for another process at discovery's address, which may count versions anew. An error says that its whole
// list is needed. A pushed list costs nothing, and is fetched also where the versions say nothing, unless discovery uses each connection once.
func (d *Discovery) checkProcess(s *session, r response) error {
	if r.process <= s.process {
		s.processAnswers++
		return nil
	}
	isReplaced := s.processAnswers >= minProcessAnswers
	s.process, s.processAnswers = r.process, 1
	switch {
	case r.list.Version < s.heldVersion && r.list.Full:
		d.log.Info("discovery may be another process, its list is taken", "version", r.list.Version, "held", s.heldVersion)
		s.heldVersion, s.firstCall = -1, r.call.number
	case r.list.Version < s.heldVersion:
		s.watchVersion = -1
		s.process-- // its next answer is still that of another process
		return fmt.Errorf("discovery may be another process: it counts from version %d, the list that is held is of %d", r.list.Version, s.heldVersion)
	case isReplaced && !r.list.Full && !d.onDemand:
		s.process--
		s.needsFullList = true
	}
	return nil
}

// logList notes that discovery answers again, and a new list. It is called behind the list's delivery, as the write of a line may be held up.
func (d *Discovery) logList(l listing.List, wasUnreachable, isNew bool) {
	if wasUnreachable {
		d.log.Info("discovery is back", "version", l.Version)
	}
	if isNew {
		d.log.Info("list of backends", "version", l.Version, "full", l.Full, "entries", len(l.Servers))
	}
}

// decodeUpdate decodes a list. An invalid entry is skipped, and its endpoint retained: left out of a whole list, it would look as if
// the endpoint had been removed.
func (d *Discovery) decodeUpdate(l listing.List) membership.Update {
	members, invalid := d.decoder.Decode(l)
	u := membership.Update{Full: l.Full, Members: members, Version: l.Version}
	for _, entry := range invalid {
		if !d.hasLoggedInvalidEntry {
			d.hasLoggedInvalidEntry = true
			d.log.Warn("passing over a malformed list entry; further ones are not logged", "entry", entry.ID, "error", entry.Err)
		}
		u.Retained = append(u.Retained, entry.ID)
	}
	return u
}
