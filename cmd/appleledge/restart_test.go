package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/harness/cluster"
)

const podWindow = 2 * time.Second

// pods are servers in pods that drop repeats of a key, with a ledger of what has run.
type pods struct {
	mu   sync.Mutex
	seen map[string]time.Time // by pod and key: when it ran there
	ran  map[string][]string  // by key: where it ran
}

// take runs a key at a pod, unless it is a repeat.
func (p *pods) take(pod int, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := fmt.Sprint(pod, " ", key)
	if ran, ok := p.seen[at]; ok && time.Since(ran) < podWindow {
		return
	}
	p.seen[at] = time.Now()
	p.ran[key] = append(p.ran[key], fmt.Sprintf("pod %d at %v", pod, time.Now().UnixMilli()))
}

// start begins servers: two in each of three pods. A third of the requests run and are never answered.
func (p *pods) start(t *testing.T) (entries []string) {
	for i := range 6 {
		b := agenttest.NewBackend(t, func(c net.Conn, r *http.Request, _ int) bool {
			p.take(i/2, r.Header.Get("Idempotency-Key"))
			time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			if rand.IntN(3) == 0 {
				return false
			}
			_, err := io.WriteString(c, agenttest.Served)
			return err == nil
		})
		entries = append(entries, fmt.Sprintf(`{"id":"s-%d","addr":%q,"zone":"edinburgh-dc","cell":%d,"state":"Ready","weight":1,"started_ms":0}`, i, b.Addr(), i/2))
	}
	return entries
}

// agentAt starts the program of a turn in a process of its own and waits until it is ready.
func agentAt(t *testing.T, turn int, args []string, config, addr string) *exec.Cmd {
	t.Helper()
	program := exec.Command(cluster.Program(turn), args...)
	program.Env = append(os.Environ(), "APPLELEDGE_AS_PROGRAM=1", "PROXY_CONFIG="+config, "PROXY_LISTEN="+addr)
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Ignore(program.Process.Kill()); besteffort.Ignore(program.Wait()) })
	agenttest.Eventually(t, "the agent is ready", func() bool {
		resp, err := http.Get("http://" + addr + "/ready")
		if err != nil {
			return false
		}
		besteffort.Close(resp.Body)
		return resp.StatusCode == http.StatusOK
	})
	return program
}

// repeats are clients that send refunds, and each again under another id until it is served: at once, later, or after the window.
type repeats struct {
	addr         string
	id, sent     atomic.Int64
	served, gone atomic.Int64
}

func (x *repeats) run(ended <-chan struct{}, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	client := http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		key := fmt.Sprintf("key-%d-%d", seed, n)
		served := false
		for try := 0; try < 6 && !served; try++ {
			select {
			case <-ended:
				return
			default:
			}
			served = x.send(&client, key)
			wait := rng.IntN(150)
			if rng.IntN(8) == 0 {
				wait = 1900 + rng.IntN(300)
			}
			if !served {
				time.Sleep(time.Duration(wait) * time.Millisecond)
			}
		}
		if served {
			x.served.Add(1)
		} else {
			x.gone.Add(1)
		}
	}
}

func (x *repeats) send(client *http.Client, key string) bool {
	r, err := http.NewRequest(http.MethodPost, "http://"+x.addr+"/refund-record", bytes.NewReader([]byte("refund")))
	if err != nil {
		return false
	}
	r.Header.Set("X-Request-ID", fmt.Sprintf("%016x", x.id.Add(1)))
	r.Header.Set("X-Tenant-Id", "glasgow-airport")
	r.Header.Set("X-Route-Key", key)
	r.Header.Set("X-Timeout", "800m")
	r.Header.Set("Idempotency-Key", key)
	x.sent.Add(1)
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer besteffort.Close(resp.Body)
	besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
	return resp.StatusCode == http.StatusOK
}

// The real program under load of refunds that clients repeat, killed and started again ten times at random: with ties no refund
// runs twice. Without them some do, else this proves nothing.
func TestNoRefundRunsTwiceOverRestarts(t *testing.T) {
	for name, keep := range map[string]string{"with ties": `budget = "100ms"`, "with ties that are synced": "budget = \"800ms\"\nsync = true", "without": ""} {
		with := keep != ""
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := &pods{seen: map[string]time.Time{}, ran: map[string][]string{}}
			disco := agenttest.NewDiscovery(t, 1, p.start(t)...)
			dir := t.TempDir()
			config, own := filepath.Join(dir, "config.json"), filepath.Join(dir, "own.toml")
			text := fmt.Sprintf("[affinity]\ndir = %q\n%s\n", dir, keep) // busy machines take longer than 2 ms
			for path, text := range map[string]string{config: string(agenttest.ConfigText(disco.Addr().String(), "null")), own: text} {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var args []string
			if with {
				args = []string{"-settings", own}
			}
			x := &repeats{addr: agenttest.Refusing(t)}
			program := agentAt(t, 0, args, config, x.addr)
			ended := make(chan struct{})
			var all sync.WaitGroup
			for i := range 16 {
				all.Go(func() { x.run(ended, uint64(i)) })
			}
			rng := rand.New(rand.NewPCG(1, 2))
			for n := range 10 {
				time.Sleep(time.Duration(200+rng.IntN(700)) * time.Millisecond)
				besteffort.Ignore(program.Process.Kill())
				besteffort.Ignore(program.Wait())
				program = agentAt(t, n+1, args, config, x.addr)
			}
			time.Sleep(time.Second)
			close(ended)
			all.Wait()
			p.mu.Lock()
			defer p.mu.Unlock()
			twice := 0
			for key, where := range p.ran {
				if len(where) > 1 {
					if twice++; with {
						t.Errorf("%s ran at %v", key, where)
					}
				}
			}
			t.Logf("%d sent, %d refunds, %d served, %d given up, %d ran more than once", x.sent.Load(), len(p.ran), x.served.Load(), x.gone.Load(), twice)
			if !with && twice < 3 || len(p.ran) < 100 {
				t.Errorf("%d of %d refunds ran more than once without ties: that proves nothing", twice, len(p.ran))
			}
		})
	}
}
