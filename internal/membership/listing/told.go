package listing

import "time"

// Origin says where a list comes from, so that processes of one agent can tell which of theirs is the newest. Its times are since the boot of the
// machine, which all of its processes count alike.
type Origin struct {
	Address      string        `json:"address"`          // of the discovery that has sent it
	AddressSince time.Duration `json:"address_since_ns"` // when the process that was told it began to follow that address
	AskedAt      time.Duration `json:"asked_ns"`         // when the call began that was answered with it
	AnsweredAt   time.Duration `json:"answered_ns"`      // when the answer came; 0: no discovery has sent it, it was cached
	Version      int64         `json:"version"`          // as that discovery counts
}

// Told is a whole list as a process of an agent has been told it.
type Told struct {
	Origin
	Servers []Entry `json:"servers"`
}

// Supersedes reports whether a list takes the place of another one.
//
//   - What a discovery has answered takes the place of what was cached; of two cached ones the higher version counts, as at a start.
//   - Of two discoveries at different addresses the one counts that was configured later.
//   - At one address a list takes the place of another whose answer had come before it was asked for, also with a lower version: the
//     discovery counts anew. Where the two calls crossed, the higher version is the newer list.
func (o Origin) Supersedes(held Origin) bool {
	switch {
	case o.AnsweredAt == 0 || held.AnsweredAt == 0:
		return o.AnsweredAt > 0 || held.AnsweredAt == 0 && o.Version > held.Version
	case o.Address != held.Address:
		return o.AddressSince > held.AddressSince
	case o.AskedAt > held.AnsweredAt:
		return true
	case held.AskedAt > o.AnsweredAt:
		return false
	}
	return o.Version > held.Version
}
