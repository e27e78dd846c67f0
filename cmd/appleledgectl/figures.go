package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"appleledge/internal/besteffort"
	"appleledge/internal/logstats"
)

// figuresCommand returns the command that adds up what agents have logged.
func (c *console) figuresCommand() *cobra.Command {
	step := time.Second
	cmd := &cobra.Command{
		Use:   "figures LOG...",
		Short: "Add up over agents what they counted, by time",
		Long: `Reads the logs of agents whose settings have a section [figures] and adds up what they counted, a column for each second (or
--step) and a row for each figure. Names that begin with held_ are what was held then. What is 0 everywhere has no row. Lines that are none of
figures are passed over, and so is what stands before "time=" on a line. No agent has to run.`,
		Example: "  appleledgectl figures logs/*.log\n  appleledgectl figures --step 1m /var/log/appleledge/*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			sum, err := logstats.New(step)
			if err != nil {
				return fmt.Errorf("--step: %w", err)
			}
			for _, path := range args {
				if err := addLogFile(sum, path); err != nil {
					return err
				}
			}
			if c.json {
				return c.writeJSON(sum.Rows)
			}
			return sum.Write(c.out)
		},
	}
	cmd.Flags().DurationVar(&step, "step", step, "the `time` of a column")
	return cmd
}

// addLogFile adds the log at path to the sum.
func addLogFile(sum *logstats.Sum, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer besteffort.Close(file)
	if err := sum.Read(file); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
