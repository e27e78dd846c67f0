package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/fatih/color"
	"github.com/spf13/cobra"

	"appleledge/internal/admin"
	"appleledge/internal/besteffort"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
	"appleledge/internal/plan"
	"appleledge/internal/plan/show"
)

// validateCommand returns the command that checks configuration files.
func (c *console) validateCommand() *cobra.Command {
	return c.withVars(&cobra.Command{
		Use:   "validate DIR",
		Short: "Check a folder's files",
		Long: `Checks a folder's files. Without an agent only what the files say of themselves is checked; with one the names of
classes, tenants and zones as well.`,
		Example: "  appleledgectl validate fleet/",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			config, err := c.readConfigDir(args[0])
			if err != nil {
				return err
			}
			if c.socket != "" {
				if err := c.call(cmd, http.MethodPost, admin.PathCheck, admin.PlanRequest{Config: config}, &admin.Config{}); err != nil {
					return err
				}
			}
			if c.json {
				return c.writeJSON(admin.Config{Hash: config.Hash(), Config: config})
			}
			fmt.Fprintf(c.out, "%s is right: %d pools, %d routes, %d limits, %d drains (%.12s)\n", args[0], len(config.Pools), len(config.Routes),
				len(config.Limits), len(config.Drains), config.Hash())
			return nil
		},
	})
}

// planCommand returns the command that makes a plan.
func (c *console) planCommand() *cobra.Command {
	var out string
	var detailed bool
	var taken float64
	cmd := &cobra.Command{
		Use:   "plan DIR",
		Short: "Say what a folder's files would change, and what that would do now",
		Long: `Says what a folder's files would change at the agent, object by object, and what that would do to the fleet as it is now.
What should be known first stands first. Nothing is changed. With -o the plan is kept in a file, which apply takes.`,
		Example: "  appleledgectl plan fleet/ -o change.plan\n  appleledgectl plan fleet/ --var canary=20 --detailed-exitcode",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			config, err := c.readConfigDir(args[0])
			if err != nil {
				return err
			}
			p := &plan.Plan{}
			if err := c.call(cmd, http.MethodPost, admin.PathPlan, admin.PlanRequest{Config: config, MaxCapacityTaken: taken}, p); err != nil {
				return err
			}
			if out != "" {
				if err := savePlan(out, p); err != nil {
					return err
				}
			}
			if err := c.showPlan(p); err != nil {
				return err
			}
			if detailed && len(p.Changes) > 0 {
				return errChanges
			}
			return nil
		},
	}
	cmd.Flags().StringVarP(&out, "out", "o", "", "keep the plan in a `file`")
	cmd.Flags().BoolVar(&detailed, "detailed-exitcode", false, "exit with 2 where there are changes")
	cmd.Flags().Float64Var(&taken, "most-taken", 0.25, "the `share` of capacity that a change may take without a flag")
	return c.withVars(cmd)
}

// savePlan writes a plan to a file that everybody may read and only the user may write.
func savePlan(path string, p *plan.Plan) error {
	data, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// showPlan prints a plan.
func (c *console) showPlan(p *plan.Plan) error {
	if c.json {
		return c.writeJSON(p)
	}
	return show.Plan(c.out, p)
}

// showCommand returns the command that prints a saved plan.
func (c *console) showCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show [FILE]",
		Short: "Show a plan, or the configuration in force",
		Long:  "Shows a plan that was kept, checked for having been altered. Without a file the agent's configuration in force, as JSON.",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				var in admin.Config
				if err := c.call(cmd, http.MethodGet, admin.PathConfig, nil, &in); err != nil {
					return err
				}
				return c.writeJSON(in)
			}
			p, err := loadPlan(args[0])
			if err != nil {
				return err
			}
			return c.showPlan(p)
		},
	}
}

// loadPlan reads a saved plan.
func loadPlan(path string) (*plan.Plan, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	p, err := plan.Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// applyCommand returns the command that applies a plan.
func (c *console) applyCommand() *cobra.Command {
	var approved, force bool
	var why string
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a plan as it stands, or nothing",
		Long: `Applies a plan that plan -o has kept. Where the running state has moved since, by another change or by a server that the
plan concerns, nothing is changed and it says what has moved. While the question is open the lock is held, so that nobody else
changes the configuration meanwhile.`,
		Example: "  appleledgectl apply change.plan\n  appleledgectl apply change.plan --auto-approve --why \"ticket 312\"",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := loadPlan(args[0])
			if err != nil {
				return err
			}
			if len(p.Changes) == 0 {
				return c.showPlan(p)
			}
			if !approved {
				if err := c.approve(cmd, p); err != nil {
					return err
				}
			}
			var done admin.ChangeResult
			if err := c.call(cmd, http.MethodPost, admin.PathApply, admin.ApplyRequest{Plan: p, Actor: c.operator, Reason: why, Force: force}, &done); err != nil {
				return err
			}
			return c.showApplied(done, "appleledgectl status says what the watch makes of it.")
		},
	}
	cmd.Flags().BoolVar(&approved, "auto-approve", false, "do not ask")
	cmd.Flags().BoolVar(&force, "force", false, "also what has done harm before, or while a change is still watched")
	cmd.Flags().StringVar(&why, "why", "", "a reason, for the history")
	return cmd
}

// approve shows a plan and asks, with the lock in hand.
func (c *console) approve(cmd *cobra.Command, p *plan.Plan) error {
	lock := admin.LockRequest{Holder: c.operator, Duration: "5m"}
	if err := c.call(cmd, http.MethodPost, admin.PathLock, lock, &admin.Lock{}); err != nil {
		return err
	}
	defer func() { besteffort.Ignore(c.call(cmd, http.MethodDelete, admin.PathLock, lock, &struct{}{})) }() // it ends by itself as well
	if err := show.Plan(c.out, p); err != nil {
		return err
	}
	ok, err := c.confirm("\nApply this?")
	if err == nil && !ok {
		err = errors.New("nothing was applied")
	}
	return err
}

// showApplied prints the result of a change.
func (c *console) showApplied(a admin.ChangeResult, more string) error {
	if c.json {
		return c.writeJSON(a)
	}
	fmt.Fprintf(c.out, "Generation %d (%.12s) is in force. %s\n", a.Number, a.Hash, more)
	if !a.IsDurable {
		fmt.Fprintln(c.out, color.New(color.FgYellow).Sprint("It would not survive a restart:"), a.Problem)
	}
	return nil
}

// rollbackCommand returns the command that goes back to the generation before.
func (c *console) rollbackCommand() *cobra.Command {
	var why string
	cmd := &cobra.Command{
		Use:   "rollback",
		Short: "Go back to the generation before",
		Long:  "Goes back to the configuration that was in force before the last one was applied, at once and as a whole.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var done admin.ChangeResult
			if err := c.call(cmd, http.MethodPost, admin.PathRollback, admin.RollbackRequest{Actor: c.operator, Reason: why}, &done); err != nil {
				return err
			}
			return c.showApplied(done, "")
		},
	}
	cmd.Flags().StringVar(&why, "why", "", "a reason, for the history")
	return cmd
}

// statusCommand returns the command that prints what is in force.
func (c *console) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Say what is in force, and whether it is watched",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s admin.Status
			if err := c.call(cmd, http.MethodGet, admin.PathStatus, nil, &s); err != nil {
				return err
			}
			if c.json {
				return c.writeJSON(s)
			}
			return c.writeStatus(s)
		},
	}
}

// writeStatus prints an agent's status.
func (c *console) writeStatus(s admin.Status) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "agent\t%s\n", s.Agent)
	fmt.Fprintf(w, "generation\t%d (%.12s)\n", s.Number, s.Hash)
	if s.IsWatched {
		fmt.Fprintf(w, "watched\tfor %.0f s more; %.0f%% of its drains are out\n", s.WatchSecondsLeft, 100*s.RolloutShare)
	} else {
		fmt.Fprintf(w, "watched\tno\n")
	}
	if s.PreviousHash != "" {
		fmt.Fprintf(w, "before\t%.12s, to which rollback goes back\n", s.PreviousHash)
	}
	fmt.Fprintf(w, "servers\t%d, %d of them drained by the configuration\n", s.ServerCount, s.DrainingServers)
	fmt.Fprintf(w, "refused\t%d by limits\n", s.RejectedRequests)
	fmt.Fprintf(w, "open\t%s\n", openByGeneration(s.OpenRequests))
	if s.IsDurable {
		fmt.Fprintf(w, "kept\tyes\n")
	} else {
		fmt.Fprintf(w, "kept\tno: %s\n", s.Problem)
	}
	if s.Lock != nil {
		fmt.Fprintf(w, "lock\t%s, for %.0f s more\n", s.Lock.Holder, s.Lock.SecondsLeft)
	}
	return w.Flush()
}

// openByGeneration words how many requests are open under each generation, the oldest generation first.
func openByGeneration(open map[uint64]int) string {
	if len(open) == 0 {
		return "no requests"
	}
	var parts []string
	for _, number := range slices.Sorted(maps.Keys(open)) {
		parts = append(parts, fmt.Sprintf("%d under generation %d", open[number], number))
	}
	return strings.Join(parts, ", ")
}

// historyCommand returns the command that prints what became of changes.
func (c *console) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "Say what became of changes, the newest last",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var records []generation.Record
			if err := c.call(cmd, http.MethodGet, admin.PathHistory, nil, &records); err != nil {
				return err
			}
			if c.json {
				return c.writeJSON(records)
			}
			w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
			for _, r := range records {
				fmt.Fprintf(w, "%s\t%d\t%.12s\t%s\t%s\t%s\n", time.UnixMilli(r.UnixMS).Format(time.RFC3339), r.Number, r.Hash, r.Event, r.Actor, r.Reason)
			}
			return w.Flush()
		},
	}
}

// diffCommand returns the command that compares two configurations.
func (c *console) diffCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "diff A B",
		Short: "Say what differs between two configurations",
		Long:  "Says what differs between two configurations: folders, plans (where they lead to), or what show has written. Exits with 2 where they differ.",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			a, err := c.loadConfig(args[0])
			if err != nil {
				return err
			}
			b, err := c.loadConfig(args[1])
			if err != nil {
				return err
			}
			changes := fleetconfig.Diff(a, b)
			if c.json {
				err = c.writeJSON(changes)
			} else {
				err = show.Changes(c.out, changes)
			}
			if err == nil && len(changes) > 0 {
				err = errChanges
			}
			return err
		},
	}
	return c.withVars(cmd)
}

// lockCommand returns the command that takes the lock on changes, or releases it.
func (c *console) lockCommand() *cobra.Command {
	var release bool
	var lasts time.Duration
	cmd := &cobra.Command{
		Use:   "lock",
		Short: "Keep others from changing the configuration",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q := admin.LockRequest{Holder: c.operator, Duration: lasts.String()}
			if release {
				return c.call(cmd, http.MethodDelete, admin.PathLock, q, &struct{}{})
			}
			var l admin.Lock
			if err := c.call(cmd, http.MethodPost, admin.PathLock, q, &l); err != nil {
				return err
			}
			fmt.Fprintf(c.out, "%s holds the lock for %.0f s\n", l.Holder, l.SecondsLeft)
			return nil
		},
	}
	cmd.Flags().BoolVar(&release, "release", false, "give it back")
	cmd.Flags().DurationVar(&lasts, "for", 5*time.Minute, "how long; 15m at most")
	return cmd
}
