package platform

import (
	"errors"
	"fmt"

	"appleledge/internal/membership"
	"appleledge/internal/membership/listing"
)

// maxUnreadableInRow is how many answers in a row may be unreadable before the whole list is asked for.
const maxUnreadableInRow = 2

// handleResponse takes what came of a call. An error says that the call failed, or that its list can't be used.
func (d *Discovery) handleResponse(r response) (err error) {
	defer func() {
		if err != nil {
			d.calls.failed(r.call, err)
			err = d.failed(err)
		}
	}()
	if errors.Is(r.err, errUnreadable) {
		d.unreadableResponses.Add(1)
		if d.unreadableInRow++; d.unreadableInRow >= maxUnreadableInRow {
			d.watchVersion = -1
		}
	}
	if r.err != nil {
		return r.err
	}
	d.calls.answered(r.call, r.list.Version, d.heldVersion, r.list.Full, len(r.list.Servers))
	d.adoptServerClock(r.date)
	d.unreadableInRow, d.isFirstCallAfterMove = 0, false
	d.hasAnswered.Store(true)
	if err := d.applyList(r.list, r.isFullListCall); err != nil {
		return fmt.Errorf("%w: %w", errPossiblyMissed, err)
	}
	return nil
}

// failed counts an error.
func (d *Discovery) failed(err error) error {
	d.failedCalls.Add(1)
	return err
}

// applyList delivers a list that is not older than the one held. A discovery that answers a whole-list call with changes, goes back in
// its versions, or counts anew without saying so is an error: its changes are not those of the list that is held.
func (d *Discovery) applyList(l listing.List, isFullListCall bool) error {
	if isFullListCall && !l.Full {
		return errors.New("discovery answered a call for the whole list with changes")
	}
	if !isFullListCall && !l.Full && d.heldVersion < 0 && l.Version < d.watchVersion {
		d.watchVersion = -1
		return fmt.Errorf("discovery counts from version %d, the known list is of %d", l.Version, d.cachedList.Version)
	}
	if l.Version < d.heldVersion && !l.Full {
		return fmt.Errorf("discovery went back from version %d to %d", d.heldVersion, l.Version)
	}
	if d.isUnreachable {
		d.isUnreachable = false
		d.log.Info("discovery is back", "version", l.Version)
	}
	if l.Version < d.heldVersion || l.Version == d.heldVersion && !l.Full {
		return nil // what is held is newer
	}
	if d.watchVersion = l.Version; d.heldVersion < 0 && !l.Full && len(l.Servers) == 0 {
		d.heldVersion = l.Version // the cached list is up to date
		return nil
	}
	u := d.decodeUpdate(l)
	if l.Version != d.heldVersion { // else a discovery that repeats one list would fill the log
		d.log.Info("list of backends", "version", l.Version, "full", l.Full, "entries", len(l.Servers))
	}
	d.heldVersion, d.hasEndpoints = l.Version, true
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
