package hclfile

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"appleledge/internal/fleetconfig"
	"appleledge/internal/golden"
)

var goldenNames = fleetconfig.Names{Classes: []string{"form-check", "refund-record"}, Tenants: []string{"lerwick-port", "wick"},
	Zones: []string{"edinburgh-dc", "glasgow-dc"}, RoutableHeaders: []string{"X-Attrs"}}

// The committed directory, which uses every key, is read as the committed configuration.
func TestGoldenDirectory(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"objects.hcl", "values.hcl"} {
		if err := os.WriteFile(filepath.Join(dir, name), golden.Read(t, "fleetconfig/hcl/"+name), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	sources, err := Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	c, err := Read(sources, map[string]string{"small_part": "10"}, goldenNames)
	if err != nil {
		t.Fatal(err)
	}
	if want := golden.Read(t, "fleetconfig/config.json"); !bytes.Equal(c.JSON(), want) {
		t.Errorf("read as\n%s, not\n%s", c.JSON(), want)
	}
}

// A block that leaves a key out has the committed default.
func TestGoldenDefaults(t *testing.T) {
	c, err := Read([]Source{{"f.hcl", golden.Read(t, "fleetconfig/hcl/short.hcl")}}, nil, goldenNames)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "fleetconfig/hcl/short.json", c.JSON())
}

// An unknown key or block stands anywhere in the files. It is rejected, as a misspelt key would be ignored otherwise.
func TestGoldenUnknownKeys(t *testing.T) {
	text := string(golden.Read(t, "fleetconfig/hcl/objects.hcl"))
	values := Source{"values.hcl", golden.Read(t, "fleetconfig/hcl/values.hcl")}
	read := func(text string) error {
		_, err := Read([]Source{{"f.hcl", []byte(text)}, values}, nil, goldenNames)
		return err
	}
	blocks := regexp.MustCompile(`\{\n`).FindAllStringIndex(text, -1)
	if len(blocks) < 10 || read(text) != nil {
		t.Fatalf("%d blocks, %v", len(blocks), read(text))
	}
	for _, at := range blocks {
		if err := read(text[:at[1]] + "some_key = 1\n" + text[at[1]:]); err == nil || !strings.Contains(err.Error(), "Unsupported argument") {
			t.Errorf("after %.40q: %v", text[max(0, at[0]-30):at[1]], err)
		}
	}
	if err := read(text + "some_block {}\n"); err == nil || !strings.Contains(err.Error(), "Unsupported block type") {
		t.Error(err)
	}
}
