package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// BadValueError is the error of a value that can't be parsed. The decoder gives the position of only some of them;
// LocateError looks for the others.
type BadValueError struct{ Text, Problem string }

func (e BadValueError) Error() string { return fmt.Sprintf("%q %s", e.Text, e.Problem) }

// LocateError adds the file and, where it is known, the line to an error that the decoder returned for that text.
func LocateError(name string, text []byte, err error) error {
	if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("%s:%d: unknown key %q; it is misspelt, or belongs to another section", name, line,
			strings.Join(first.Key(), "."))
	}
	if decode, ok := errors.AsType[*toml.DecodeError](err); ok {
		line, _ := decode.Position()
		return fmt.Errorf("%s:%d: %s", name, line, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	if bad, ok := errors.AsType[BadValueError](err); ok {
		if line := lineOf(text, bad.Text); line > 0 {
			return fmt.Errorf("%s:%d: %w", name, line, err)
		}
	}
	return fmt.Errorf("%s: %w", name, err)
}

// lineOf returns the first line, from 1, on which a key has that value, with or without quotes; 0 if there is none.
func lineOf(text []byte, value string) int {
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		_, after, _ := strings.Cut(line, "=")
		after, _, _ = strings.Cut(after, "#")
		if strings.Trim(strings.TrimSpace(after), `"'`) == value {
			return number
		}
	}
	return 0
}
