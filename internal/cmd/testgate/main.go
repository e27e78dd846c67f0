// Command testgate judges a run of "go test -json", which it reads from standard input, by the list of known-red tests, and
// prints what "go test" prints. It exits with 0 if nothing failed, with 3 if only known-red tests failed, and with 1 otherwise.
package main

import (
	"flag"
	"fmt"
	"os"

	"appleledge/internal/testgate"
)

const (
	exitFailed    = 1
	exitKnownOnly = 3
)

func main() {
	list := flag.String("known", "KNOWN-RED.txt", "file that lists the tests which may fail")
	flag.Parse()
	os.Exit(run(*list))
}

func run(list string) int {
	known, err := testgate.ReadKnownFile(list)
	if err != nil {
		return report(err)
	}
	verdict, err := testgate.Judge(os.Stdin, known, os.Stdout)
	if err != nil {
		return report(err)
	}
	if err := verdict.Print(os.Stdout); err != nil {
		return report(err)
	}
	switch {
	case !verdict.OK():
		return exitFailed
	case verdict.KnownFailures():
		return exitKnownOnly
	}
	return 0
}

func report(err error) int {
	fmt.Fprintln(os.Stderr, "testgate:", err)
	return exitFailed
}
