// Command fleetgen makes fleets of servers that come and go by a script, told by the platform's list, by xDS or by a file,
// for tests and measurements.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"appleledge/internal/besteffort"
	"appleledge/internal/emulator"
	"appleledge/internal/harness/ballsbins"
	"appleledge/internal/harness/controlplane"
	"appleledge/internal/harness/fleetgen"
	"appleledge/internal/harness/overhead"
)

func main() {
	if err := runUntilSignal(); err != nil {
		os.Exit(1)
	}
}

// runUntilSignal runs the command line of the process until it ends or a signal comes.
func runUntilSignal() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return root().ExecuteContext(ctx)
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleetgen",
		Short: "Fleets of any size that come and go by a script",
		Long: `fleetgen makes fleets of servers, tells of them as the platform's list, a control plane (xDS) or a file would, and
changes them by a script. All of it stays on this machine.

A script is a TOML file:

    [fleet]
    servers = 1000        # at first
    spread = 100.0        # the largest size over the smallest
    seed = 1

    [[step]]
    at = "5s"
    do = "replace"        # ` + verbs() + `
    count = 10
    every = "1s"          # without it once
    for = "30s"`,
		SilenceUsage: true,
	}
	c.AddCommand(serve(), check(), list(), bins(), measuring(), reverseProxy())
	return c
}

func verbs() string {
	var names []string
	for name := range fleetgen.Verbs {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// load reads the script that the arguments name, or the default one.
func load(args []string, servers int) (fleetgen.Script, error) {
	s, err := fleetgen.Default(), error(nil)
	if len(args) > 0 {
		s, err = fleetgen.Load(args[0])
	}
	if servers > 0 {
		s.Fleet.Servers = servers
	}
	return s, err
}

func check() *cobra.Command {
	return &cobra.Command{
		Use:   "check SCRIPT ...",
		Short: "Reads scripts and says what is wrong with them",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, name := range args {
				s, err := fleetgen.Load(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: in order; %d servers at first, %d steps over %v\n", name, s.Fleet.Servers, len(s.Steps), s.Length())
			}
			return nil
		},
	}
}

func list() *cobra.Command {
	servers, path := 0, ""
	c := &cobra.Command{
		Use:   "list [SCRIPT]",
		Short: "Writes a fleet, as it is at first, to a file in the form of the platform's list",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := load(args, servers)
			if err != nil {
				return err
			}
			return (&fleetgen.File{Path: path}).Publish(fleetgen.New(s.Fleet, nil).Servers(), nil)
		},
	}
	c.Flags().IntVar(&servers, "servers", 0, "how many, in place of what the script says")
	c.Flags().StringVar(&path, "file", "servers.json", "where to")
	return c
}

// serving are the flags of serve.
type serving struct {
	servers             int
	platform, xds, file string
	cluster             string
	shards              int
	backends            bool
	stay                bool
}

func serve() *cobra.Command {
	var s serving
	c := &cobra.Command{
		Use:   "serve [SCRIPT]",
		Short: "Tells of a fleet and changes it by the script",
		Long: `serve tells of a fleet by one list or several at once, carries out the steps of the script in their time, and ends with the
last of them, or on an interrupt. Without --backends nothing listens where the servers are said to be.`,
		Example: `  fleetgen serve churn.toml --platform 127.0.0.1:8500
  fleetgen serve --servers 10000 --xds 127.0.0.1:18000 --shards 64 --stay
  fleetgen serve --servers 200 --backends --file servers.json --stay`,
		Args: cobra.MaximumNArgs(1),
		RunE: s.run,
	}
	f := c.Flags()
	f.IntVar(&s.servers, "servers", 0, "how many at first, in place of what the script says")
	f.StringVar(&s.platform, "platform", "", "host and port on which to serve the platform's list")
	f.StringVar(&s.xds, "xds", "", "host and port on which to serve as a control plane")
	f.StringVar(&s.cluster, "cluster", "form-servers", "name of the cluster there")
	f.IntVar(&s.shards, "shards", 1, "clusters that it is split into: NAME/0, NAME/1 and so on")
	f.StringVar(&s.file, "file", "", "file to write the list to, anew with each change")
	f.BoolVar(&s.backends, "backends", false, "answer requests at the servers' addresses, with a load report")
	f.BoolVar(&s.stay, "stay", false, "go on after the last step, until an interrupt")
	return c
}

func (s *serving) run(c *cobra.Command, args []string) error {
	script, err := load(args, s.servers)
	if err != nil {
		return err
	}
	to, closeAll, err := s.publishers(c.ErrOrStderr())
	defer closeAll()
	if err != nil {
		return err
	}
	if len(to) == 0 {
		return fmt.Errorf("nobody is told: name --platform, --xds or --file")
	}
	var place func(int) (string, int)
	if s.backends {
		b := &fleetgen.Backends{}
		defer b.Close()
		place = b.Place
	}
	fleet := fleetgen.New(script.Fleet, place)
	err = script.Play(c.Context(), fleet, to, progress(c.ErrOrStderr(), script))
	if err == nil && s.stay {
		<-c.Context().Done()
	}
	if c.Context().Err() != nil {
		err = nil // it was told to end
	}
	return err
}

func (s *serving) publishers(log io.Writer) (to []fleetgen.Publisher, closeAll func(), err error) {
	var closers []func()
	closeAll = func() {
		for _, f := range closers {
			f()
		}
	}
	if s.platform != "" {
		d, err := emulator.NewDiscovery(s.platform)
		if err != nil {
			return nil, closeAll, err
		}
		closers = append(closers, d.Close)
		to = append(to, fleetgen.Platform{Discovery: d})
		fmt.Fprintln(log, "the platform's list is at", d.Addr)
	}
	if s.xds != "" {
		if s.shards < 1 || s.shards > 4096 {
			return nil, closeAll, fmt.Errorf("--shards %d must be from 1 to 4096", s.shards)
		}
		p, err := controlplane.Start(s.xds)
		if err != nil {
			return nil, closeAll, err
		}
		closers = append(closers, p.Stop)
		to = append(to, &fleetgen.ControlPlane{Plane: p, Name: s.cluster, Shards: s.shards})
		fmt.Fprintln(log, "the control plane is at", p.Addr())
	}
	if s.file != "" {
		to = append(to, &fleetgen.File{Path: s.file})
	}
	return to, closeAll, nil
}

// progress shows on a terminal what has been done.
func progress(out io.Writer, s fleetgen.Script) func(fleetgen.Step, int) {
	f, ok := out.(*os.File)
	if !ok {
		return func(fleetgen.Step, int) {}
	}
	if info, err := f.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(fleetgen.Step, int) {}
	}
	began, length := time.Now(), s.Length()
	return func(step fleetgen.Step, servers int) {
		fmt.Fprintf(out, "\r%6.1f of %.1f s: %-8s %6d servers ", time.Since(began).Seconds(), length.Seconds(), step.Do, servers)
	}
}

func bins() *cobra.Command {
	most, games, path := 100_000, 3, ""
	constant := 0.6
	c := &cobra.Command{
		Use:   "bins",
		Short: "Plays balls into bins with the module's draw and shows the greatest load beside the paper's bound",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if most < 100 || most > 1_000_000 || games < 1 || games > 100 {
				return fmt.Errorf("--most must be from 100 to 1000000 and --games from 1 to 100")
			}
			var sizes []int
			for n := 100; n <= most; n *= 10 {
				sizes = append(sizes, n)
			}
			var series [][]ballsbins.Point
			for _, draws := range []int{1, 2, 16} {
				series = append(series, ballsbins.Series(draws, sizes, games, func(p ballsbins.Point) {
					line := fmt.Sprintf("%7d bins, %2d draws: %.2f", p.Bins, p.Draws, p.Greatest)
					if p.Draws > 1 {
						line += fmt.Sprintf("  (ln ln n / ln d = %.2f)", ballsbins.Bound(p.Bins, p.Draws))
					}
					fmt.Fprintln(c.OutOrStdout(), line)
				}))
			}
			if path == "" {
				return nil
			}
			f, err := os.Create(path)
			if err != nil {
				return err
			}
			if err := ballsbins.Picture(f, constant, series...); err != nil {
				besteffort.Close(f)
				return err
			}
			return f.Close()
		},
	}
	c.Flags().IntVar(&most, "most", most, "bins of the largest game")
	c.Flags().IntVar(&games, "games", games, "games of each size; the worst counts")
	c.Flags().Float64Var(&constant, "constant", constant, "the bound's constant, in the picture")
	c.Flags().StringVar(&path, "svg", "", "also draw a picture to this file")
	return c
}

func measuring() *cobra.Command {
	o := overhead.Options{}
	program, servers, proxy := "bin/appleledge", []int{14, 1000}, true
	c := &cobra.Command{
		Use:   "measure",
		Short: "Puts an agent under load and says what a request costs it, beside a plain reverse proxy",
		Long: `measure starts servers that answer at once, an agent of one core in front of them, and clients that each have one request at
a time. It prints requests a second, CPU for a request (from /proc), and times to the answer (an HDR histogram). The reverse
proxy is net/http/httputil.ReverseProxy with GOMAXPROCS=1, which sends each request to any of the servers.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Connections < 1 || o.Connections > 1000 || o.Duration < time.Second {
				return fmt.Errorf("--connections must be from 1 to 1000, and --for 1s or more")
			}
			fmt.Fprintf(c.OutOrStdout(), "%-14s %8s %10s %8s %10s %10s %8s %8s\n", "", "servers", "a second", "failed", "CPU", "median", "p99", "memory")
			for _, n := range servers {
				for _, run := range []func() (overhead.Result, error){
					func() (overhead.Result, error) { return overhead.MeasureAgent(c.Context(), program, n, o) },
					func() (overhead.Result, error) {
						return overhead.MeasureProxy(c.Context(), []string{"reverse-proxy"}, n, o)
					},
				}[:1+count(proxy)] {
					r, err := run()
					if err != nil {
						return err
					}
					fmt.Fprintf(c.OutOrStdout(), "%-14s %8d %10.0f %8d %10v %10v %8v %5.1f MB\n", r.Name, r.Servers, r.ServedPerSecond, r.Failed, r.CPUPerRequest,
						r.Median, r.P99, r.MemoryMB)
				}
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&program, "agent", program, "the agent's program")
	f.IntSliceVar(&servers, "servers", servers, "sizes of fleets")
	f.IntVar(&o.Connections, "connections", 32, "clients")
	f.DurationVar(&o.Duration, "for", 5*time.Second, "how long what comes counts")
	f.DurationVar(&o.ServiceTime, "busy", 0, "how long a server takes for an answer")
	f.IntVar(&o.Rate, "rate", 0, "requests a second of all clients; 0: each as soon as its last is answered")
	f.BoolVar(&proxy, "proxy", proxy, "measure the reverse proxy too")
	return c
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

// reverseProxy is what measure runs beside the agent.
func reverseProxy() *cobra.Command {
	return &cobra.Command{
		Use:    "reverse-proxy ADDR",
		Short:  "A plain reverse proxy to the servers that standard input names, one a line",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := io.ReadAll(io.LimitReader(c.InOrStdin(), 1<<20))
			if err != nil {
				return err
			}
			return overhead.ServeProxy(c.Context(), args[0], strings.Fields(string(text)))
		},
	}
}
