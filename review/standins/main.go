// Command standins plays the cases of the review: form servers, discovery and clients round the project's own agent.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases of the review, by name.
var cases = map[string]func(){
	"missing-key":   missingKey,
	"new-zones":     newZones,
	"compacted":     compacted,
	"slow-upload":   slowUpload,
	"late-second":   lateSecond,
	"stalled-first": stalledFirst,
	"longer-window": longerWindow,
	"power-loss":    powerLoss,
	"two-sources":   twoSources,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		serverMain(os.Args[2:])
		return
	}
	if len(os.Args) > 1 && os.Args[1] == "twice" {
		twiceMain(os.Args[2:])
		return
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins CASE")
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { <-stop; cleanUp(); os.Exit(2) }()
	cases[os.Args[1]]()
}
