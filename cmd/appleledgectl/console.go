package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"path/filepath"
	"strings"

	"github.com/fatih/color"
	"github.com/hashicorp/hcl/v2"
	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"appleledge/internal/admin"
	"appleledge/internal/besteffort"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/fleetconfig/hclfile"
	"appleledge/internal/plan"
)

// console is where a command reads and writes, and the flags that all of them share.
type console struct {
	in       io.Reader
	out, err io.Writer

	socket      string
	json        bool
	operator    string
	vars        []string
	affinityDir string // of the binding logs
}

const usage = `appleledgectl changes the configuration of a fleet at an appleledge agent, by plans:

    appleledgectl validate fleet/                # are the files right?
    appleledgectl plan fleet/ -o change.plan     # what would they change, and what would that do now?
    appleledgectl show change.plan               # read it again
    appleledgectl apply change.plan              # exactly that, or nothing
    appleledgectl status                         # is it watched, kept, rolled back?

A folder's files that end in .hcl form one configuration. The agent has a section [generations] in its settings, whose
socket is named by --socket or APPLELEDGE_SOCKET.

Exit codes: 0 all went well, 1 an error, 2 there are changes (plan --detailed-exitcode, diff).`

// socketEnv names the agent's socket where no flag does.
const socketEnv = "APPLELEDGE_SOCKET"

// root returns the command with all its subcommands.
func (c *console) root() *cobra.Command {
	root := &cobra.Command{Use: "appleledgectl", Short: "Plan and apply configurations of a fleet", Long: usage, SilenceUsage: true, SilenceErrors: true}
	f := root.PersistentFlags()
	f.StringVar(&c.socket, "socket", os.Getenv(socketEnv), "the agent's operators' socket (default $"+socketEnv+")")
	f.BoolVar(&c.json, "json", false, "write JSON")
	f.StringVar(&c.operator, "by", currentUser(), "who is asking, for the history and the lock")
	root.AddCommand(c.validateCommand(), c.planCommand(), c.showCommand(), c.applyCommand(), c.rollbackCommand(), c.statusCommand(), c.historyCommand(), c.diffCommand(), c.lockCommand(), c.affinityCommands(), c.figuresCommand(), c.fleetCommand())
	return root
}

// currentUser returns the name of the user, as far as it is known.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return cmp.Or(os.Getenv("USER"), "somebody")
}

// client is the agent's.
func (c *console) client() (*admin.Client, error) {
	if c.socket == "" {
		return nil, fmt.Errorf("no agent is named; say --socket PATH or set %s", socketEnv)
	}
	return admin.NewClient(c.socket), nil
}

// call makes a call of the agent.
func (c *console) call(cmd *cobra.Command, method, path string, body, into any) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return client.Call(cmd.Context(), method, path, body, into)
}

// writeJSON writes a value for programs.
func (c *console) writeJSON(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// withVars gives a command that reads files the flag for variables.
func (c *console) withVars(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringArrayVar(&c.vars, "var", nil, "set a variable, as NAME=VALUE; may be given again")
	return cmd
}

// readConfigDir reads a directory as one configuration. The agent checks names of classes, tenants and zones.
func (c *console) readConfigDir(dir string) (*fleetconfig.Config, error) {
	values := map[string]string{}
	for _, v := range c.vars {
		name, value, ok := strings.Cut(v, "=")
		if !ok {
			return nil, fmt.Errorf("--var %q: write NAME=VALUE", v)
		}
		values[name] = value
	}
	sources, err := hclfile.Load(dir)
	if err != nil {
		return nil, err
	}
	return hclfile.Read(sources, values, fleetconfig.Names{})
}

// showDiagnostics writes what is wrong with files, with their source. It reports false of another error.
func (c *console) showDiagnostics(err error) bool {
	bad, ok := errors.AsType[*hclfile.Error](err)
	if !ok {
		return false
	}
	if c.json {
		type problem struct {
			File    string `json:"file,omitempty"`
			Line    int    `json:"line,omitempty"`
			Summary string `json:"summary"`
			Detail  string `json:"detail"`
		}
		out := []problem{}
		for _, d := range bad.Diagnostics {
			p := problem{Summary: d.Summary, Detail: d.Detail}
			if d.Subject != nil {
				p.File, p.Line = d.Subject.Filename, d.Subject.Start.Line
			}
			out = append(out, p)
		}
		return c.writeJSON(out) == nil
	}
	return hcl.NewDiagnosticTextWriter(c.err, bad.Files, 100, !color.NoColor).WriteDiagnostics(bad.Diagnostics) == nil
}

// loadConfig is a folder's configuration, or that of a plan or a file with its JSON.
func (c *console) loadConfig(path string) (*fleetconfig.Config, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.IsDir() {
		return c.readConfigDir(path)
	}
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	if p, err := plan.Decode(data); err == nil {
		return p.TargetConfig()
	}
	var shown admin.Config
	if err := json.Unmarshal(data, &shown); err == nil && shown.Config != nil {
		shown.Config.Normalize()
		return shown.Config, nil
	}
	config, err := fleetconfig.Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s is no folder, plan or configuration: %w", path, err)
	}
	return config, nil
}

// readFile reads a file of bounded size.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(filepath.Clean(path))
	if err != nil {
		return nil, err
	}
	defer besteffort.Close(f)
	data, err := io.ReadAll(io.LimitReader(f, plan.MaxBytes+1))
	if err == nil && len(data) > plan.MaxBytes {
		err = fmt.Errorf("%s has more than %d bytes", path, plan.MaxBytes)
	}
	return data, err
}

// confirm asks on a terminal whether to go on. Without a terminal the answer is no.
func (c *console) confirm(question string) (bool, error) {
	f, ok := c.in.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return false, errors.New("there is no terminal to ask on; say --auto-approve if the plan has been read")
	}
	fmt.Fprintf(c.out, "%s\nOnly 'yes' is taken as one: ", question)
	line, err := bufio.NewReader(f).ReadString('\n')
	if err != nil {
		return false, err
	}
	return strings.TrimSpace(line) == "yes", nil
}
