package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// claim is what a form server tells the fleet's ledger when the last byte of a request has come. The ledger keeps the pods' memory of
// idempotency keys, which the servers of a pod share.
type claim struct {
	Server, Class, ID, Key string
	Pod                    int
	Phase                  string // "head": the head has come; "whole": the last byte has
}

// verdict is what the server does with the request.
type verdict struct {
	Answer string // ok, error (500), reset (no answer, the connection breaks), full (503, it has not run)
	WorkMS int
}

// serverMain is a form server: a process of its own, so that it can be stopped, continued and killed. It reads requests with net/http,
// which sends 100 (Continue) when the body is read; a cancel stops nothing. The process prints its address and then one line for each request.
func serverMain(args []string) {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	name := flags.String("name", "", "id of the server")
	pod := flags.Int("pod", 0, "its pod")
	ledger := flags.String("ledger", "", "address of the ledger")
	must(flags.Parse(args))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	fmt.Println(l.Addr())
	client := &http.Client{}
	tell := func(c claim) verdict {
		text, err := json.Marshal(c)
		must(err)
		resp, err := client.Post("http://"+*ledger+"/claim", "application/json", bytes.NewReader(text))
		if err != nil {
			os.Exit(0) // the run is over
		}
		defer resp.Body.Close()
		var v verdict
		must(json.NewDecoder(resp.Body).Decode(&v))
		return v
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		c := claim{Server: *name, Pod: *pod, Class: class, ID: r.Header.Get("X-Request-ID"), Key: r.Header.Get("Idempotency-Key"), Phase: "head"}
		tell(c)
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			http.Error(w, "the body is not whole", http.StatusBadRequest)
			return
		}
		c.Phase = "whole"
		v := tell(c)
		time.Sleep(time.Duration(v.WorkMS) * time.Millisecond)
		w.Header().Set("X-Server-Load", "util=0.300,qps=20.00,eps=0.00")
		switch v.Answer {
		case "full":
			w.Header().Set("X-Not-Processed", "1")
			http.Error(w, "full", http.StatusServiceUnavailable)
		case "error":
			http.Error(w, "it failed", http.StatusInternalServerError)
		case "reset":
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}
		default:
			fmt.Fprintf(w, "answer to %s of %d bytes by %s\n", c.ID, n, *name)
		}
	})
	must((&http.Server{Handler: handler}).Serve(l))
}
