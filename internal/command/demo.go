package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/demo"
)

func init() {
	subcommands["demo"] = subcommand{"runs three instances with stand-in engines under a mixed load", runDemo}
}

func runDemo(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.SetOutput(stderr)
	duration := flags.Duration("duration", 5*time.Second, "how long load is sent")
	asJSON := flags.Bool("json", false, "print JSON in place of a table")
	if !parseFlags(flags, args, func() bool { return flags.NArg() > 0 || *duration <= 0 }) {
		return ExitUsage
	}
	report, err := demo.Run(context.Background(), demo.Options{Duration: *duration, Log: stderr})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	if *asJSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(report)
	} else {
		printReport(stdout, report)
	}
	if !report.Passed() {
		return ExitFailure
	}
	return ExitSuccess
}

// printReport prints one row for each workspace and tier, and the totals of duplicated and lost requests.
func printReport(w io.Writer, report *demo.Report) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workspace\ttier\tsent\twhole\tnot run\tundetermined\twrong\tmedian ms\tp95 ms\t")
	for _, g := range report.Groups {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n",
			g.Workspace, g.Tier, g.Sent, g.Complete, g.NotRun, g.Undetermined, g.Incorrect, g.MedianMillis, g.P95Millis)
	}
	table.Flush()
	fmt.Fprintf(w, "doubled: %d, lost: %d\n", report.Duplicated, report.Lost)
}
