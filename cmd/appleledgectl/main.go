// Command appleledgectl plans and applies configurations of the fleet at an agent, and shows what is in force there.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/fatih/color"
)

// Exit codes, as infrastructure tools have them.
const (
	exitOK      = 0
	exitError   = 1
	exitChanges = 2 // of plan -detailed-exitcode, diff
)

// errChanges ends a command that went well and found changes.
var errChanges = errors.New("there are changes")

func main() { os.Exit(runUntilSignal()) }

// runUntilSignal runs the command line of the process until it ends or a signal comes, and returns its exit code.
func runUntilSignal() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, os.Args[1:], &console{in: os.Stdin, out: os.Stdout, err: os.Stderr})
}

// run runs a command line and returns its exit code.
func run(ctx context.Context, args []string, c *console) int {
	root := c.root()
	root.SetArgs(args)
	root.SetIn(c.in)
	root.SetOut(c.out)
	root.SetErr(c.err)
	switch err := root.ExecuteContext(ctx); {
	case errors.Is(err, errChanges):
		return exitChanges
	case err != nil:
		c.showError(err)
		return exitError
	}
	return exitOK
}

// showError writes an error, with its source where it is one of the files.
func (c *console) showError(err error) {
	if c.showDiagnostics(err) {
		return
	}
	fmt.Fprintln(c.err, color.New(color.FgRed).Sprint("Error:"), err)
}
