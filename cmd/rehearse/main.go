// Command rehearse runs an emulated fleet with a real agent on loopback, to practise on.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"appleledge/internal/rehearsal"
)

const usage = `rehearse runs an installation on loopback, to look at and to practise on.

    rehearse quickstart     a small fleet, its server list, an agent and clients, for some seconds

'rehearse quickstart -h' lists its flags.
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "rehearse:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	if len(args) == 0 || args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		fmt.Print(usage)
		return nil
	}
	if args[0] != "quickstart" {
		return fmt.Errorf("%q is no command; see rehearse -h", args[0])
	}
	flags := flag.NewFlagSet("rehearse quickstart", flag.ContinueOnError)
	q := rehearsal.Quickstart{Out: os.Stdout, Live: terminal(os.Stdout)}
	flags.IntVar(&q.Servers, "servers", 12, "`number` of form servers")
	flags.Float64Var(&q.Rate, "rate", 150, "requests a `second`")
	flags.DurationVar(&q.For, "for", 20*time.Second, "how `long` clients send")
	flags.Uint64Var(&q.Seed, "seed", 1, "`number` from which speeds, requests and the like are drawn")
	if err := flags.Parse(args[1:]); err != nil {
		return err
	}
	if q.Servers < 1 || q.Servers > 100 || q.Rate <= 0 || q.Rate > 5000 || q.For <= 0 {
		return errors.New("-servers must be from 1 to 100, -rate above 0 and at most 5000, -for above 0")
	}
	_, err := q.Run(ctx)
	return err
}

// terminal reports whether a file is one that a person looks at.
func terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
