package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"appleledge/internal/affinity"
	"appleledge/internal/affinity/bindinglog"
	"appleledge/internal/atomicfile"
	"appleledge/internal/besteffort"
	"appleledge/internal/boottime"
)

// affinityCommands look into the folder in which agents keep where refunds went. They need no agent.
func (c *console) affinityCommands() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "affinity",
		Short: "Look into the folder that keeps where refunds went",
		Long:  "Looks into the folder that the section [affinity] of an agent's settings names. No agent has to run, and one that does is not disturbed.",
	}
	cmd.PersistentFlags().StringVar(&c.affinityDir, "dir", "", "the `folder`")
	besteffort.Ignore(cmd.MarkPersistentFlagRequired("dir"))
	cmd.AddCommand(
		c.inspectCommand("stat", "Say what the files hold", 0, c.printStats),
		c.inspectCommand("check", "Check each record; exits with 1 where any is damaged", 0, c.checkFiles),
		c.inspectCommand("export", "Write all records as lines of JSON", 0, c.export),
		c.inspectCommand("lookup KEY", "Say where a repeat key (Idempotency-Key) went", 1, c.lookup),
		c.compactCommand())
	return cmd
}

// inspectCommand returns a command that reads the binding logs of a directory and needs no agent.
func (c *console) inspectCommand(use, short string, args int, do func(dir string, files []bindinglog.FileReport, args []string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(args), RunE: func(_ *cobra.Command, args []string) error {
		files, err := bindinglog.Inspect(atomicfile.OS{}, c.affinityDir)
		if err != nil {
			return err
		}
		return do(c.affinityDir, files, args)
	}}
}

// recordKindNames are the kinds of records.
var recordKindNames = map[affinity.RecordKind]string{affinity.RecordBound: "began", affinity.RecordUnbound: "never ran", affinity.RecordServed: "served", affinity.RecordFailed: "failed"}

// printStats prints the number of records of each kind, by file.
func (c *console) printStats(_ string, files []bindinglog.FileReport, _ []string) error {
	if c.json {
		return c.writeJSON(files)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, f := range files {
		kinds := map[string]int{}
		for _, r := range f.Records {
			kinds[recordKindNames[r.Kind]]++
		}
		fmt.Fprintf(w, "%s\t%d bytes\t%d began\t%d never ran\t%d served\t%d damaged\t%s\n", f.Name, f.Bytes, kinds["began"], kinds["never ran"], kinds["served"], f.Corrupt, f.Problem)
	}
	return w.Flush()
}

// checkFiles returns an error that names the files with damaged records.
func (c *console) checkFiles(dir string, files []bindinglog.FileReport, _ []string) error {
	var wrong []error
	for _, f := range files {
		if f.Corrupt > 0 || f.Problem != "" {
			wrong = append(wrong, fmt.Errorf("%s: %d damaged records %s", filepath.Join(dir, f.Name), f.Corrupt, f.Problem))
		}
	}
	if len(wrong) == 0 {
		fmt.Fprintf(c.out, "%d files, all of it can be read\n", len(files))
	}
	return errors.Join(wrong...)
}

// exportedRecord is the JSON form of a record.
type exportedRecord struct {
	File string  `json:"file"`
	Boot string  `json:"boot"`
	Key  string  `json:"key"` // hashed
	Kind string  `json:"kind"`
	AtS  float64 `json:"at_s"` // since that run of the machine began
	Pod  int32   `json:"pod"`
	Zone int32   `json:"zone"`
}

// newExportedRecord returns the JSON form of a record.
func newExportedRecord(f bindinglog.FileReport, r affinity.Record) exportedRecord {
	return exportedRecord{f.Name, f.BootID, fmt.Sprintf("%016x%016x", r.Key[0], r.Key[1]), recordKindNames[r.Kind], r.At.Seconds(), r.Pod, r.Zone}
}

// export writes all records, one JSON object a line.
func (c *console) export(_ string, files []bindinglog.FileReport, _ []string) error {
	e := json.NewEncoder(c.out)
	for _, f := range files {
		for _, r := range f.Records {
			if err := e.Encode(newExportedRecord(f, r)); err != nil {
				return err
			}
		}
	}
	return nil
}

// lookup prints the records of one key.
func (c *console) lookup(dir string, files []bindinglog.FileReport, args []string) error {
	if _, err := os.Stat(filepath.Join(dir, "secret")); err != nil {
		return fmt.Errorf("the secret by which keys are hashed: %w", err) // one is not made by a look
	}
	secret, err := bindinglog.LoadOrCreateSecret(bindinglog.Options{Dir: dir, FS: atomicfile.OS{}})
	if err != nil {
		return err
	}
	key, found := secret.Key(args[0]), false
	e := json.NewEncoder(c.out)
	for _, f := range files {
		for _, r := range f.Records {
			if r.Key == key {
				found = true
				if err := e.Encode(newExportedRecord(f, r)); err != nil {
					return err
				}
			}
		}
	}
	if !found {
		return fmt.Errorf("nothing is kept of %q", args[0])
	}
	return nil
}

// compactCommand returns the command that removes binding logs without any record that is still needed.
func (c *console) compactCommand() *cobra.Command {
	var lasts time.Duration
	cmd := c.inspectCommand("compact", "Remove files of which nothing is of use any more", 0, func(dir string, files []bindinglog.FileReport, _ []string) error {
		boot, now, err := boottime.Read()
		if err != nil {
			return err
		}
		for _, f := range files {
			if !f.Obsolete(boot, now, lasts) {
				continue
			}
			if err := os.Remove(filepath.Join(dir, f.Name)); err != nil {
				return err
			}
			fmt.Fprintln(c.out, "removed", f.Name)
		}
		return nil
	})
	cmd.Long = "Removes files of which nothing is of use any more, as agents do by themselves. Files of an earlier run of the machine are removed, too: do\nthat only when an agent has been started since, or clients' repeats of that time have ended."
	cmd.Flags().DurationVar(&lasts, "lasts", 10*time.Minute, "how long records are of use: the window and the tail of the settings, and some more")
	return cmd
}
