package listing

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Parse reads a list. Its errors name the line. It goes through the text once and keeps nothing of it but the entries: a list of 10,000
// servers has over a megabyte, and an agent may have 32 in all.
func Parse(data []byte) (l List, err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err = l.decode(decoder); err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return l, nil
		} else if err == nil {
			err = errors.New("something follows the list")
		}
	}
	offset := int(decoder.InputOffset())
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) { // the text is cut off
		offset, err = len(data), io.ErrUnexpectedEOF
	} else if syntax, ok := errors.AsType[*json.SyntaxError](err); ok {
		offset = int(syntax.Offset)
	}
	line := 1 + bytes.Count(data[:min(offset, len(data))], []byte{'\n'})
	return l, fmt.Errorf("line %d: %w", line, err)
}

// decode reads the object. Unknown keys are skipped, for lists of later versions.
func (l *List) decode(d *json.Decoder) error {
	switch open, err := d.Token(); {
	case err != nil:
		return err
	case open == nil: // null
		return nil
	case open != json.Delim('{'):
		return fmt.Errorf("a list is an object, not %v", open)
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return err
		}
		switch key {
		case "version":
			err = d.Decode(&l.Version)
		case "full":
			err = d.Decode(&l.Full)
		case "servers":
			err = l.decodeEntries(d)
		default:
			var other json.RawMessage
			err = d.Decode(&other)
		}
		if err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

// decodeEntries reads the array of servers. An entry with a wrong type keeps its error and does not end the list.
func (l *List) decodeEntries(d *json.Decoder) error {
	l.Servers = nil
	switch open, err := d.Token(); {
	case err != nil:
		return err
	case open == nil:
		return nil
	case open != json.Delim('['):
		return fmt.Errorf("servers is no array but %v", open)
	}
	l.Servers = []Entry{}
	for d.More() {
		var e Entry
		err := d.Decode(&e)
		if _, isTypeError := errors.AsType[*json.UnmarshalTypeError](err); isTypeError {
			e.decodeErr = err
		} else if err != nil {
			return err
		}
		l.Servers = append(l.Servers, e)
	}
	_, err := d.Token()
	return err
}
