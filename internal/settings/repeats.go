package settings

// Repeats is the section [repeats]: what may be sent again of requests under an idempotency key that may have run.
type Repeats struct {
	// ConfirmedOnly: only what both servers are known to have read, by what they answer. Whether the file states false counts, too:
	// AllowsUnconfirmedRepeats.
	ConfirmedOnly bool `toml:"confirmed_only"`
}

// AllowsUnconfirmedRepeats reports whether the file states that confirmed_only is false: repeats also go to servers that send no
// 100 (Continue), and may run twice there.
func (f File) AllowsUnconfirmedRepeats() bool {
	_, isStated := f.lines["repeats.confirmed_only"]
	return f.Repeats != nil && isStated && !f.Repeats.ConfirmedOnly
}

func (*Repeats) check() (key string, err error) { return "", nil }
