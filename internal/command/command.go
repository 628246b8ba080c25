// Package command implements the subcommands of the primrosebeam binary.
package command

import (
	"fmt"
	"io"
)

// Exit codes of the binary.
const (
	ExitDone         = 0
	ExitFailed       = 1
	ExitUsage        = 2
	ExitUndetermined = 3
)

// Version is the version that the version subcommand prints.
const Version = "0.1.0"

type subcommand struct {
	summary string
	run     func(args []string, stdout, stderr io.Writer) int
}

var subcommands = map[string]subcommand{
	"version": {"prints the version", runVersion},
}

// Main runs the subcommand that args names and returns the process's exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		usage(stderr)
		return ExitUsage
	}
	selected, known := subcommands[args[0]]
	if !known {
		fmt.Fprintf(stderr, "primrosebeam: unknown command %q\n", args[0])
		usage(stderr)
		return ExitUsage
	}
	return selected.run(args[1:], stdout, stderr)
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: primrosebeam COMMAND [flags]")
	for name, c := range subcommands {
		fmt.Fprintf(w, "  %-10s %s\n", name, c.summary)
	}
}

func runVersion(_ []string, stdout, _ io.Writer) int {
	fmt.Fprintln(stdout, "primrosebeam", Version)
	return ExitDone
}
