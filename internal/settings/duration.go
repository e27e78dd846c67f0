package settings

import "time"

// Duration is a duration in the format of time.ParseDuration, such as "400ms".
type Duration time.Duration

// UnmarshalText parses a duration. The error is a BadValueError.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return BadValueError{string(text), "is no duration; write a number and a unit, such as \"400ms\" or \"3s\""}
	}
	*d = Duration(v)
	return nil
}

// String returns the duration in the format that UnmarshalText parses.
func (d Duration) String() string { return time.Duration(d).String() }
