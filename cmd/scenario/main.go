// Command scenario runs an emulated fleet with a real agent on loopback, to practise on.
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

	"appleledge/internal/scenario"
)

const usage = `scenario runs an installation on loopback, or in simulated time, to look at and to practise on.

    scenario quickstart               a small fleet, its server list, an agent and clients, for some seconds
    scenario run FILE ...             plays scripts on loopback sockets against the agent's own program
    scenario run -simulated FILE ...  plays them in simulated time against its engine and module, far faster
    scenario soak                     plays days on sockets whose faults are drawn from seeds
    scenario check FILE ...           reads scripts and says what is wrong with them
    scenario compare A B              sets two reports side by side that run has written with -json

A script is a TOML file; scenarios/ has some to start from. Each command's -h lists its flags.
`

func main() {
	if err := runUntilSignal(); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "scenario:", err)
		os.Exit(1)
	}
}

// runUntilSignal runs the command line of the process until it ends or a signal comes.
func runUntilSignal() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, os.Args[1:])
}

func run(ctx context.Context, args []string) error {
	if len(args) == 0 || args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		fmt.Print(usage)
		return nil
	}
	switch args[0] {
	case "quickstart":
		return runQuickstart(ctx, args[1:])
	case "run":
		return runScripts(ctx, args[1:])
	case "soak":
		return runSoak(ctx, args[1:])
	case "check":
		return checkScripts(args[1:])
	case "compare":
		return compareReports(args[1:])
	}
	return fmt.Errorf("%q is no command; see scenario -h", args[0])
}

// checkScripts reads scripts and returns an error for those that are wrong.
func checkScripts(files []string) error {
	if len(files) == 0 {
		return errors.New("check needs the scripts to read")
	}
	var wrong []error
	for _, file := range files {
		if _, err := scenario.LoadScript(file); err != nil {
			wrong = append(wrong, err)
		} else {
			fmt.Println(file + ": in order")
		}
	}
	return errors.Join(wrong...)
}

// compareReports prints the differences of two reports.
func compareReports(args []string) error {
	flags := flag.NewFlagSet("scenario compare", flag.ContinueOnError)
	tolerance := flags.Float64("tolerance", 0.02, "`share` by which five seconds have to differ to be shown")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 2 {
		return errors.New("compare needs two reports, which scenario run -json FILE writes")
	}
	a, err := scenario.LoadReport(flags.Arg(0))
	if err != nil {
		return err
	}
	b, err := scenario.LoadReport(flags.Arg(1))
	if err != nil {
		return err
	}
	scenario.Compare(os.Stdout, flags.Arg(0), flags.Arg(1), a, b, *tolerance)
	return nil
}

// runScripts runs scripts, one after another, and prints their reports.
func runScripts(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("scenario run", flag.ContinueOnError)
	simulated := flags.Bool("simulated", false, "in simulated time, and not on sockets")
	program := flags.String("agent", "bin/appleledge", "the agent's `program`")
	seed := flags.Uint64("seed", 1, "`number` from which all that a script leaves open is drawn")
	brief := flags.Bool("brief", false, "a line for each script")
	page := flags.String("html", "", "also write the report of one script as a page to this `file`")
	data := flags.String("json", "", "also write it for other programs to this `file`")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() == 0 {
		return errors.New("run needs the scripts to play; see scenario run -h")
	}
	if flags.NArg() > 1 && *page+*data != "" {
		return errors.New("-html and -json are for one script at a time")
	}
	scripts := make([]scenario.Script, flags.NArg())
	for i, file := range flags.Args() { // all are read before the first starts
		var err error
		if scripts[i], err = scenario.LoadScript(file); err != nil {
			return err
		}
	}
	held := true
	for i, s := range scripts {
		began := time.Now()
		var d scenario.Report
		if *simulated {
			d = scenario.Simulate(s, *seed)
		} else {
			var err error
			if d, err = (scenario.LiveRunner{Script: s, Seed: *seed, AgentProgram: *program, Out: os.Stderr}).Run(ctx); err != nil {
				return err
			}
		}
		held = held && d.Passed()
		if err := writeFile(*page, func(f *os.File) error { return d.HTML(f, flags.Arg(i)) }); err != nil {
			return err
		}
		if err := writeFile(*data, func(f *os.File) error { return d.JSON(f) }); err != nil {
			return err
		}
		if *brief {
			f := d.Service
			fmt.Printf("%-50s service %.4f  worst 10 s %.4f  broken %d  not held %d  %.1f seconds played a second\n", flags.Arg(i),
				f.Figure, f.Worst10, d.ViolationCount, len(d.FailedAssertions), d.Duration.Seconds()/time.Since(began).Seconds())
			continue
		}
		fmt.Println(flags.Arg(i))
		d.Write(os.Stdout)
		fmt.Printf("%v played in %v\n\n", d.Duration.Round(time.Second), time.Since(began).Round(time.Millisecond))
	}
	if !held {
		return errors.New("a rule was broken, or what a script asserts did not hold")
	}
	return nil
}

// writeFile creates a file and fills it; an empty path does nothing.
func writeFile(path string, fill func(*os.File) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(fill(f), f.Close())
}

// runQuickstart runs a small fleet with an agent and clients.
func runQuickstart(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("scenario quickstart", flag.ContinueOnError)
	q := scenario.Quickstart{Out: os.Stdout, IsTerminal: isTerminal(os.Stdout)}
	flags.IntVar(&q.Servers, "servers", 12, "`number` of form servers")
	flags.Float64Var(&q.Rate, "rate", 150, "requests a `second`")
	flags.DurationVar(&q.Duration, "for", 20*time.Second, "how `long` clients send")
	flags.Uint64Var(&q.Seed, "seed", 1, "`number` from which speeds, requests and the like are drawn")
	flags.StringVar(&q.OperatorSocket, "socket", "", "`path` of an operators' socket, for appleledgectl; without it there is none")
	flags.StringVar(&q.OperatorAddr, "operator", "", "`address` where operators call, such as 127.0.0.1:9100; without it there is none")
	flags.StringVar(&q.StateFile, "state", "", "`file` that keeps what operators apply")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if q.Servers < 1 || q.Servers > 100 || q.Rate <= 0 || q.Rate > 5000 || q.Duration <= 0 {
		return errors.New("-servers must be from 1 to 100, -rate above 0 and at most 5000, -for above 0")
	}
	_, err := q.Run(ctx)
	return err
}

// isTerminal reports whether a file is a character device, such as a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
