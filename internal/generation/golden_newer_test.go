package generation

import (
	"errors"
	"testing"
)

// A newer program wrote the state. It is recognized by its key "format" alone, whatever else the state holds.
func TestGoldenStateFormatNumber(t *testing.T) {
	if _, err := DecodeState([]byte(`{"format":2,"number":"of another kind"}`)); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("a state of a newer form: %v", err)
	}
	if _, err := DecodeState([]byte(`{"format":1,"config":{},"hash":"44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a"}`)); err != nil {
		t.Errorf("a state of this form: %v", err)
	}
}
