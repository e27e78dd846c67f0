package cli

import (
	"strings"
	"testing"

	"appleledge/internal/balancer"
	"appleledge/internal/settings"
)

// Only the platform's configuration names the classes: one that is not there, or that must not run twice, is refused with
// the line of the settings.
func TestJoinedClasses(t *testing.T) {
	classes := []balancer.Class{{Name: "form-check"}, {Name: "refund-record", Effect: balancer.IdempotentByKey}, {Name: "pay", Effect: balancer.NonIdempotent}}
	for name, want := range map[string]string{"form-check": "", "refund-record": "refund-record", "pay": "pay", "formcheck": "formcheck"} {
		f, err := settings.Parse("own.toml", []byte("[join]\n\nclasses = [\"form-check\", \""+name+"\"]\n"))
		if name == "form-check" {
			f, err = settings.Parse("own.toml", []byte("[join]\nclasses = [\"form-check\"]\n"))
		}
		if err != nil {
			t.Fatal(err)
		}
		with, err := coalescingOptions(f)(classes)
		if want != "" {
			if err == nil || !strings.HasPrefix(err.Error(), "own.toml:3: join.classes: \""+want+"\" is no class that may be repeated") {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		if err != nil || len(with.Groups.Classes) != 3 || !with.Groups.Classes[0].Coalesces || with.Groups.Classes[1].Coalesces {
			t.Errorf("%+v, %v", with, err)
		}
	}
	if coalescingOptions(settings.File{}) != nil {
		t.Error("without the section something is joined")
	}
}
