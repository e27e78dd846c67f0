package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"appleledge/internal/besteffort"
	"appleledge/internal/boottime"
	"appleledge/internal/membership/listing"
)

// A process that starts when no other one lives, behind a kill or a restart, gets the endpoint list from a file beside the sockets. Each process
// replaces it when its list changes, when it becomes the only one, and every storeInterval. It says which agent has written it in which boot of the
// machine, and is trusted only in that one, and only shortly behind the last process. It is written without a sync: a boot ends its use.
const (
	storedListSuffix = ".list"
	newListSuffix    = ".list.new" // of a file that is being written
	storeInterval    = time.Minute
	maxStoredListAge = 10 * time.Minute // since it was written
)

// storedList is the content of the file.
type storedList struct {
	Agent  string        `json:"agent"`
	BootID string        `json:"boot"`
	At     time.Duration `json:"at_ns"` // since the boot, when it was written
	List   listing.Told  `json:"list"`
}

var errOtherUser = errors.New("another user has written it")

// StoredEndpointList returns the list that processes of the agent had left at the start of this one; nil: there is none.
func (l *Link) StoredEndpointList() *listing.Told { return l.storedList }

// storedListName is the name of the file.
func (l *Link) storedListName() string { return socketPrefix(l.agent) + storedListSuffix[1:] }

// storeEndpoints replaces the file. A list that no discovery has sent is not stored.
func (l *Link) storeEndpoints(list *listing.Told) {
	if list.AnsweredAt == 0 {
		return
	}
	err := l.writeStoredList(list)
	if err != nil && !l.hasLoggedStoreError {
		l.log.Warn("the list of servers can't be stored: a process that starts when no other one lives will not know it", "folder", l.dir.Name(), "error", err)
	}
	l.hasLoggedStoreError = err != nil
}

func (l *Link) writeStoredList(list *listing.Told) error {
	bootID, now, err := boottime.Read()
	if err != nil {
		return err
	}
	text, err := json.Marshal(storedList{Agent: l.agent, BootID: bootID, At: now, List: *list})
	if err != nil {
		return err
	}
	written := l.path(strings.TrimSuffix(l.socketName, socketSuffix) + newListSuffix)
	if err := os.WriteFile(written, text, 0o600); err != nil {
		besteffort.Ignore(os.Remove(written))
		return err
	}
	return os.Rename(written, l.path(l.storedListName()))
}

// loadStoredList reads the file. One that can't be used is logged, and no reason not to start.
func (l *Link) loadStoredList() {
	list, err := l.readStoredList()
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		l.log.Warn("the list of servers of an earlier process is not used", "file", l.storedListName(), "error", err)
	default:
		l.storedList = list
	}
}

func (l *Link) readStoredList() (*listing.Told, error) {
	f, err := os.OpenFile(l.path(l.storedListName()), os.O_RDONLY|unix.O_NOFOLLOW|unix.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer besteffort.Close(f)
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if owner, ok := info.Sys().(*syscall.Stat_t); !ok || int(owner.Uid) != l.uid || !info.Mode().IsRegular() {
		return nil, errOtherUser
	}
	text, err := io.ReadAll(io.LimitReader(f, maxMessageBytes))
	if err != nil {
		return nil, err
	}
	var stored storedList
	if err := json.Unmarshal(text, &stored); err != nil {
		return nil, err
	}
	bootID, now, err := boottime.Read()
	if err != nil {
		return nil, err
	}
	age := now - stored.At
	if stored.Agent != l.agent || stored.BootID != bootID || age < 0 || age > maxStoredListAge {
		return nil, fmt.Errorf("it is of the agent %q, of the boot %s, and %v old", stored.Agent, stored.BootID, age.Round(time.Second))
	}
	return &stored.List, nil
}

// removeUnfinishedLists removes what processes have left that were killed while they wrote. It is called where no other process lives.
func (l *Link) removeUnfinishedLists() {
	if _, err := l.dir.Seek(0, io.SeekStart); err != nil {
		return // what is left does no harm
	}
	names, err := l.dir.Readdirnames(-1)
	besteffort.Ignore(err)
	for _, name := range names {
		if strings.HasPrefix(name, socketPrefix(l.agent)) && strings.HasSuffix(name, newListSuffix) {
			besteffort.Ignore(os.Remove(l.path(name)))
		}
	}
}
