package boottime

import "testing"

// Two readings are of one boot, and time does not go back between them.
func TestTimeGoesOnInOneBoot(t *testing.T) {
	first, before, err := Read()
	if err != nil || first == "" || before <= 0 {
		t.Fatalf("%q, %v, %v", first, before, err)
	}
	second, after, err := Read()
	if err != nil || second != first || after < before {
		t.Errorf("%q and %q, %v and %v, %v", first, second, before, after, err)
	}
}
