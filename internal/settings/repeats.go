package settings

// Repeats is the section [repeats]: what may be sent again of requests under an idempotency key that may have run.
type Repeats struct {
	ConfirmedOnly bool `toml:"confirmed_only"` // only to servers that are known to show that they read, by 100 (Continue)
}

func (*Repeats) check() (key string, err error) { return "", nil }
