package main

import (
	"bufio"
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

// TestMain lets the test binary stand in for the program, in a process of its own that takes real signals.
func TestMain(m *testing.M) {
	if os.Getenv("APPLELEDGE_AS_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// command starts the command with these settings, in a folder of its own.
func command(t *testing.T, settings string) (cmd *exec.Cmd, file string) {
	t.Helper()
	dir := t.TempDir()
	d := agenttest.NewDiscovery(t, 1, agenttest.EntryText("s-1", "127.0.0.1:1", "Ready", 0))
	config := filepath.Join(dir, "config.json")
	file = filepath.Join(dir, "settings.toml")
	for name, text := range map[string][]byte{config: agenttest.ConfigText(d.Addr().String(), "null"), file: []byte(settings)} {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cmd = exec.Command(os.Args[0], "-settings", file)
	cmd.Env = append(os.Environ(), "APPLELEDGE_AS_PROGRAM=1", "PROXY_CONFIG="+config)
	giveUp := time.AfterFunc(agenttest.Patience, func() { besteffort.Ignore(cmd.Process.Kill()) })
	t.Cleanup(func() { giveUp.Stop() })
	return cmd, file
}

// The whole command: it listens where its settings say, decides, goes on when the settings become unreadable, and drains.
func TestCommand(t *testing.T) {
	cmd, file := command(t, "[external_processor]\nlisten = \"127.0.0.1:0\"\n")
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(log)
	reach := func(text string) string {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return lines.Text()
			}
		}
		t.Fatalf("the log ended before %q", text)
		return ""
	}
	addr := regexp.MustCompile(`addr=(\S+)`).FindStringSubmatch(reach("external processor listening"))
	reach("backends to send to")
	conn, err := grpc.NewClient("passthrough:///"+addr[1], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(conn)
	ctx, cancel := context.WithTimeout(context.Background(), agenttest.Patience)
	defer cancel()
	stream, err := extprocv3.NewExternalProcessorClient(conn).Process(ctx, grpc.WaitForReady(true))
	if err != nil {
		t.Fatal(err)
	}
	header := &corev3.HeaderMap{}
	for name, value := range map[string]string{":method": "GET", ":path": "/form-check", "x-request-id": "1",
		"x-tenant-id": "lerwick-port", "x-timeout": "500m"} {
		header.Headers = append(header.Headers, &corev3.HeaderValue{Key: name, RawValue: []byte(value)})
	}
	if err := stream.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{
		RequestHeaders: &extprocv3.HttpHeaders{Headers: header, EndOfStream: true}}}); err != nil {
		t.Fatal(err)
	}
	if resp, err := stream.Recv(); err != nil || resp.GetRequestHeaders() == nil {
		t.Fatalf("%v, %v", resp, err)
	}
	cancel()
	if err := os.WriteFile(file, []byte("[external_processor]\nlisten = 7\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	besteffort.Ignore(cmd.Process.Signal(syscall.SIGHUP))
	if line := reach("settings not reloaded"); !strings.Contains(line, "settings.toml:2: ") {
		t.Errorf("logged %s", line)
	}
	reach("configuration reloaded")
	besteffort.Ignore(cmd.Process.Signal(syscall.SIGTERM))
	reach("external processor drained")
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// What can't be carried out is refused at the start in one line that says where it stands.
func TestBadStart(t *testing.T) {
	taken := agenttest.Listen(t)
	for name, c := range map[string]struct{ settings, want string }{
		"unknown key":   {"[external_processor]\nlisten = \"127.0.0.1:0\"\nport = 1\n", "settings.toml:3: unknown key"},
		"taken address": {"[external_processor]\nlisten = \"" + taken.Addr().String() + "\"\n", "settings.toml:2: "},
	} {
		cmd, _ := command(t, c.settings)
		var out bytes.Buffer
		cmd.Stderr = &out
		if err := cmd.Run(); err == nil {
			t.Errorf("%s: it ended well", name)
		}
		last := strings.TrimSpace(out.String())
		last = last[strings.LastIndex(last, "\n")+1:]
		if !strings.HasPrefix(last, "appleledge-extproc: ") || !strings.Contains(last, c.want) {
			t.Errorf("%s: %s", name, out.String())
		}
	}
}
