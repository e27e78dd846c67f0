package platform

import (
	"errors"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/boottime"
	"appleledge/internal/membership/listing"
)

// What a process of an agent has been told its other processes have been told as well (package hotrestart): each hands over the list that it
// has, at the start of another process and whenever it changes. listing.Origin says which of two lists is the newer one. A list from another
// process is in force until discovery's own answer to this process takes its place; discovery at the same address is asked for the
// changes since, and an answer that is older by its version is passed over.

// maxOtherAddressHold is for how long the list of a discovery at another address counts before the own one. Processes that replace each other have
// read the same configuration by then.
const maxOtherAddressHold = time.Minute

// errOtherAddress says that a change of the own discovery can't be applied to the list of another one.
var errOtherAddress = errors.New("the list in force is that of another discovery, of which another process of the agent was told")

// toldList is the origin of the list in force.
type toldList struct {
	listing.Origin
	adoptedAt time.Time // from another process of the agent; zero: it was not
}

func (t toldList) isAdopted() bool { return !t.adoptedAt.IsZero() }

// OnTold sets what is called when another list is in force, for other processes of the agent. It is called before Run, if at all. The function is
// called on the goroutine of Run and must not block.
func (d *Discovery) OnTold(notify func()) { d.notifyTold = notify }

// Delivered is what is known of a list that was delivered to the sink.
type Delivered struct {
	Origin      listing.Origin
	ClockOffset time.Duration // with which its start times were decoded
	isAny       bool
}

// Delivered returns what is known of the list that was delivered to the sink, or of an earlier one; false before there is any.
func (d *Discovery) Delivered() (Delivered, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delivered, d.delivered.isAny
}

// Offer brings the list of another process of the agent. It is put in force if it is newer than the one that is held.
func (d *Discovery) Offer(t listing.Told) {
	d.mu.Lock()
	if d.offered == nil || t.Supersedes(d.offered.Origin) {
		d.offered = &t
	}
	d.mu.Unlock()
	d.wakeForSiblings()
}

// SiblingsEnded says that this is the only process of the agent from now on. What a discovery at another address has told one of the others is held
// to until the own one answers.
func (d *Discovery) SiblingsEnded() {
	d.mu.Lock()
	d.siblingsEnded = true
	d.mu.Unlock()
	d.wakeForSiblings()
}

func (d *Discovery) wakeForSiblings() {
	select {
	case d.siblingNews <- struct{}{}:
	default:
	}
}

// handleSiblings does what other processes of the agent ask for. It is called on the goroutine of Run.
func (d *Discovery) handleSiblings() {
	d.mu.Lock()
	offered, ended := d.offered, d.siblingsEnded
	d.offered, d.siblingsEnded = nil, false
	d.mu.Unlock()
	if offered != nil {
		d.adopt(*offered)
	}
	if ended && d.isHeldToAnotherAddress(d.session) {
		d.returnToOwnAddress(d.session)
	}
}

// passesOverOwn reports whether an answer to a session is passed over, as the list in force is of a discovery that was configured later. An error
// says that the whole list of the own one is needed.
func (d *Discovery) passesOverOwn(s *session, l listing.List) (bool, error) {
	if !d.isHeldToAnotherAddress(s) {
		return false, nil
	}
	if time.Since(d.told.adoptedAt) < maxOtherAddressHold {
		return true, nil
	}
	if d.returnToOwnAddress(s); !l.Full {
		return false, errOtherAddress
	}
	return false, nil
}

// returnToOwnAddress makes any whole list of a session's discovery newer than the one in force.
func (d *Discovery) returnToOwnAddress(s *session) {
	d.told = toldList{}
	s.heldVersion, s.watchVersion = -1, -1
	d.voidOpenCalls(s)
}

// voidOpenCalls makes a session pass over the answers to the calls that are open: changes since a version that the list in force does not go back to
// would leave out some.
func (d *Discovery) voidOpenCalls(s *session) { s.firstCall = d.callLog.lastNumber + 1 }

// adopt puts the list of another process in force, if it is newer.
func (d *Discovery) adopt(t listing.Told) {
	if d.hasEndpoints && !t.Supersedes(d.told.Origin) {
		return
	}
	previous := d.told.Origin
	d.told, d.hasEndpoints, d.cachedListAt = toldList{t.Origin, time.Now()}, true, time.Time{}
	d.continueAdopted(d.session)
	d.deliver(listing.List{Version: t.Version, Full: true, Servers: t.Servers})
	d.log.Info("list of another process of the agent", "version", t.Version, "held", previous.Version, "discovery", t.Address,
		"entries", len(t.Servers), "list_age_ms", listAge(t.Origin))
}

// continueAdopted makes a session go on from the list in force, where that is another process' and of the same discovery.
func (d *Discovery) continueAdopted(s *session) {
	if d.told.isAdopted() && d.told.AnsweredAt > 0 && d.told.Address == s.addr {
		if d.told.Version < s.heldVersion { // discovery counts anew
			d.voidOpenCalls(s)
		}
		s.heldVersion, s.watchVersion, s.adoptedAt = d.told.Version, d.told.Version, time.Now()
	}
}

// checkAdopted judges an answer that is older, by its version, than the list that another process was told. It is overtaken by that if its call began
// before; else discovery counts anew, and its whole list is taken.
func (s *session) checkAdopted(r response) (isOvertaken bool) {
	if s.adoptedAt.IsZero() {
		return false
	}
	isLater := r.call.begun.After(s.adoptedAt)
	switch {
	case r.list.Version < s.heldVersion && !isLater:
		return true
	case r.list.Version < s.heldVersion && r.list.Full:
		s.heldVersion, s.firstCall = -1, r.call.number
	}
	if isLater && (r.list.Full || r.list.Version >= s.heldVersion) {
		s.adoptedAt = time.Time{}
	}
	return false
}

// isHeldToAnotherAddress reports whether the list in force was told to another process by a discovery that was configured later than that of a
// session: that process has read a newer configuration.
func (d *Discovery) isHeldToAnotherAddress(s *session) bool {
	return d.told.isAdopted() && d.told.AnsweredAt > 0 && d.told.Address != s.addr && d.told.AddressSince > s.since
}

// noteAnswered notes that the list in force is what a call of this process was answered with.
func (d *Discovery) noteAnswered(s *session, r response) {
	now := sinceBoot()
	d.told = toldList{Origin: listing.Origin{Address: s.addr, AddressSince: s.since, AskedAt: now - time.Since(r.call.begun), AnsweredAt: now, Version: r.list.Version}}
}

// deliver puts a list in force, and lets other processes of the agent know that there is another one. What they read of the sink behind the origin is
// of this list or of a later one.
func (d *Discovery) deliver(l listing.List) {
	d.sink.Update(d.decodeUpdate(l))
	d.noteDelivered()
}

// noteDelivered makes the origin of the list in force known.
func (d *Discovery) noteDelivered() {
	d.mu.Lock()
	d.delivered = Delivered{Origin: d.told.Origin, ClockOffset: d.decoder.ClockOffset, isAny: true}
	d.mu.Unlock()
	d.notifyTold()
}

// listAge returns for how many milliseconds a list has been known; -1 of a cached one.
func listAge(o listing.Origin) int64 {
	if o.AnsweredAt == 0 {
		return -1
	}
	return (sinceBoot() - o.AnsweredAt).Milliseconds()
}

// sinceBoot is the time since the boot of the machine; 0 where the system does not tell it.
func sinceBoot() time.Duration {
	now, err := boottime.Since()
	besteffort.Ignore(err)
	return now
}
