// Command planted measures what the soak finds: it builds the agent with one fault planted at a time, plays days of the soak with it
// until one breaks a rule, and prints which seed that was. The fault "none" is the agent as it is: what it breaks is no find.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/scenario"
)

func main() {
	first := flag.Uint64("seed", 1, "`seed` of the first day")
	seeds := flag.Int("seeds", 20, "`number` of days for each fault at most")
	lasts := flag.Duration("for", 12*time.Second, "`length` of a day")
	only := flag.String("only", "", "`names` of the faults, separated by commas; all without")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, *only, scenario.Soak{FirstSeed: *first, Seeds: *seeds, Duration: *lasts, Out: io.Discard,
		Command: func(uint64) string { return "" }})
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "planted:", err)
		os.Exit(1)
	}
}

// run plays the faults of these names, or all, with the days of the soak.
func run(ctx context.Context, names string, soak scenario.Soak) error {
	chosen, err := choose(names)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "planted")
	if err != nil {
		return err
	}
	defer func() { besteffort.Ignore(os.RemoveAll(dir)) }()
	for _, f := range chosen {
		if soak.AgentProgram, err = build(ctx, dir, f); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		seed, report, found, err := soak.FirstRed(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		if !found {
			fmt.Printf("%-34s not found in %d days\n", f.name, soak.Seeds)
			continue
		}
		fmt.Printf("%-34s seed %d, %d broken: %s\n", f.name, seed, report.ViolationCount, strings.Join(report.Violations[:min(1, len(report.Violations))], ""))
	}
	return nil
}

// choose returns the faults of these names.
func choose(names string) (chosen []fault, err error) {
	if names == "" {
		return faults, nil
	}
	for name := range strings.SplitSeq(names, ",") {
		found := false
		for _, f := range faults {
			if f.name == name {
				chosen, found = append(chosen, f), true
			}
		}
		if !found {
			return nil, fmt.Errorf("no fault is named %q", name)
		}
	}
	return chosen, nil
}

// build builds the agent with a fault, in a folder, and returns the program's path. It has to run in the root of the module.
func build(ctx context.Context, dir string, f fault) (program string, err error) {
	contents, err := planted(f)
	if err != nil {
		return "", err
	}
	overlay := struct{ Replace map[string]string }{map[string]string{}}
	for file, text := range contents {
		changed := filepath.Join(dir, f.name+"-"+strings.ReplaceAll(file, "/", "-"))
		if err := os.WriteFile(changed, []byte(text), 0o600); err != nil {
			return "", err
		}
		overlay.Replace[file] = changed
	}
	list := filepath.Join(dir, f.name+".json")
	text, err := json.Marshal(overlay)
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(list, text, 0o600); err != nil {
		return "", err
	}
	program = filepath.Join(dir, f.name)
	if out, err := exec.CommandContext(ctx, "go", "build", "-overlay", list, "-o", program, "./cmd/appleledge").CombinedOutput(); err != nil {
		return "", fmt.Errorf("building: %w: %s", err, out)
	}
	return program, nil
}

// errNotOnce is a text that a file does not have exactly once.
var errNotOnce = errors.New("the text to replace is not there exactly once")

// planted returns the changed files of a fault, by their paths from the root of the module.
func planted(f fault) (map[string]string, error) {
	contents := map[string]string{}
	for _, e := range f.edits {
		text, read := contents[e.file]
		if !read {
			data, err := os.ReadFile(e.file)
			if err != nil {
				return nil, err
			}
			text = string(data)
		}
		if strings.Count(text, e.old) != 1 {
			return nil, fmt.Errorf("%s: %q: %w", e.file, e.old, errNotOnce)
		}
		contents[e.file] = strings.Replace(text, e.old, e.replacement, 1)
	}
	return contents, nil
}
