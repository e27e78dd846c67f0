package connlimit

import (
	"testing"
	"time"
)

// There was no room for a while, long ago, but for connections in the midst of bodies. When there is none again, a body that comes keeps its
// connection at first, as another may make room.
func TestLackOfRoomIsNotRememberedForLong(t *testing.T) {
	l := &Listener{}
	l.noteSearch(nil)
	l.fullSince, l.searchedAt = l.fullSince.Add(-time.Minute), l.searchedAt.Add(-time.Minute)
	if l.noteSearch(nil); l.isFullForLong(time.Now()) {
		t.Error("a search of a minute ago counts")
	}
	l.fullSince = l.fullSince.Add(-maxFullTime)
	if l.noteSearch(nil); !l.isFullForLong(time.Now()) {
		t.Error("searches one behind the other do not count")
	}
}
