package cli

import (
	"bytes"
	"errors"
	"flag"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"appleledge/internal/agent"
	"appleledge/internal/settings"
)

func TestFlags(t *testing.T) {
	var out bytes.Buffer
	if path, err := parseFlags("appleledge", []string{"-settings", "f.toml"}, &out); err != nil || path != "f.toml" {
		t.Errorf("%q, %v", path, err)
	}
	if path, err := parseFlags("appleledge", nil, &out); err != nil || path != "" {
		t.Errorf("%q, %v", path, err)
	}
	if _, err := parseFlags("appleledge", []string{"-h"}, &out); !errors.Is(err, flag.ErrHelp) || !strings.Contains(out.String(), "PROXY_CONFIG") {
		t.Errorf("%v: %s", err, out.String())
	}
	if _, err := parseFlags("appleledge", []string{"f.toml"}, &out); err == nil {
		t.Error("a word that is no flag is no error")
	}
}

// The section [repeats] reaches the agent.
func TestRepeatsAreConfirmedOnlyWhereTheSettingsSaySo(t *testing.T) {
	for text, want := range map[string]bool{"": false, "[repeats]\n": false, "[repeats]\nconfirmed_only = true\n": true} {
		set, err := settings.Parse("own.toml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		var features agent.Features
		if addFeatures(&features, set); features.ConfirmedRepeatsOnly != want {
			t.Errorf("%q: %v", text, features.ConfirmedRepeatsOnly)
		}
	}
}

// On a signal the settings are read again: what is wrong with them is logged, and so is that a change has to wait.
func TestRecheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "own.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[external_processor]\nlisten = \"127.0.0.1:1\"\n")
	old, err := loadSettings(file)
	if err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]string{
		"[external_processor]\nlisten = \"127.0.0.1:1\"\n":     "",
		"\n\n[external_processor]\nlisten = \"127.0.0.1:1\"\n": "", // moved, not changed
		"[external_processor]\nlisten = \"127.0.0.1:2\"\n":     "next start",
		"": "next start",
		"[external_processor]\nlisten = \"127.0.0.1:1\"\nx = 1\n": "own.toml:3",
	} {
		write(text)
		var out bytes.Buffer
		logSettingsChange(file, old, slog.New(slog.NewTextHandler(&out, nil)))
		if got := out.String(); want == "" && got != "" || !strings.Contains(got, want) {
			t.Errorf("%q: logged %q, want %q", text, got, want)
		}
	}
}
