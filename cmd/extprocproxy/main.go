// Command extprocproxy is a small proxy for trying the agent's external processor. It is not meant for service.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"appleledge/internal/besteffort"
	"appleledge/internal/extprocproxy"
)

const usage = `extprocproxy takes HTTP/1.1 requests, asks an external processor where each one goes, and forwards it there. It
stands in for a real proxy, to try appleledge-extproc with; it is not meant for service.

    extprocproxy -listen 127.0.0.1:8080 -processor 127.0.0.1:9002

A request that the processor refuses or gives up is answered with what the processor says. One that fails at a server
is asked for again, with x-envoy-attempt-count one higher, up to -tries times.

`

func main() {
	if err := run(os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "extprocproxy:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("extprocproxy", flag.ContinueOnError)
	flags.Usage = func() {
		fmt.Fprint(flags.Output(), usage)
		flags.PrintDefaults()
	}
	listen := flags.String("listen", "127.0.0.1:8080", "`address` where clients connect")
	processor := flags.String("processor", "127.0.0.1:9002", "`address` of the external processor")
	tries := flags.Int("tries", 10, "`number` of tries for a request, at most")
	if err := flags.Parse(args); err != nil {
		return err
	}
	conn, err := grpc.NewClient(*processor, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return fmt.Errorf("-processor %s: %w", *processor, err)
	}
	defer besteffort.Close(conn)
	proxy := extprocproxy.New(extprocv3.NewExternalProcessorClient(conn))
	proxy.MaxAttempts = *tries
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	srv := &http.Server{Addr: *listen, Handler: proxy, ReadHeaderTimeout: 5 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- srv.ListenAndServe() }()
	fmt.Fprintf(os.Stderr, "extprocproxy: listening on %s, asking %s\n", *listen, *processor)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return srv.Shutdown(limited)
}
