// Package command implements the subcommands of the primrosebeam binary.
package command

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Exit codes of the binary.
const (
	ExitSuccess      = 0
	ExitFailure      = 1
	ExitUsage        = 2 // wrong arguments, or an invalid file or change
	ExitUndetermined = 3 // the change may or may not have been committed
)

// Version is the release that the version subcommand prints.
const Version = "0.1.0"

// subcommand is an entry of the usage text and the function that runs it.
type subcommand struct {
	summary string
	run     func(args []string, stdout, stderr io.Writer) int
}

var subcommands = map[string]subcommand{
	"apply":   {"replaces the configuration by a file", runApply},
	"check":   {"validates a file and prints every fault", runCheck},
	"drain":   {"starts or ends the draining of an engine", runDrain},
	"dump":    {"prints the state of every duty of an instance", runDump},
	"get":     {"prints the configuration", runGet},
	"label":   {"edits the labels of an engine", runLabel},
	"status":  {"prints the status of the instances, or of a change", runStatus},
	"version": {"prints the version", runVersion},
}

// Main runs the subcommand named by the first argument and returns the exit code of the process.
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

// parseFlags parses the arguments of a subcommand. It returns false, after the usage was printed once, if they are
// invalid; invalid reports whether the parsed values are.
func parseFlags(flags *flag.FlagSet, args []string, invalid func() bool) bool {
	if flags.Parse(args) != nil {
		return false // Parse has printed the error and the usage
	}
	if invalid() {
		flags.Usage()
		return false
	}
	return true
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: primrosebeam COMMAND [flags]")
	for _, name := range slices.Sorted(maps.Keys(subcommands)) {
		fmt.Fprintf(w, "  %-10s %s\n", name, subcommands[name].summary)
	}
}

func runVersion(_ []string, stdout, _ io.Writer) int {
	fmt.Fprintln(stdout, "primrosebeam", Version)
	return ExitSuccess
}
