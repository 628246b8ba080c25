package command

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

func init() {
	subcommands["explain"] = subcommand{"tells from logs what became of a request, or why requests failed", runExplain}
}

// logLine is one structured line of a process's log.
type logLine struct {
	file   string
	number int
	time   string
	fields map[string]any
}

// maxLogLine bounds one line; longer ones are not lines of this program.
const maxLogLine = 1 << 20

// reasonAnswered marks the lines of requests that got their whole answer.
const reasonAnswered = "answered"

func runExplain(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintln(stderr, "usage: primrosebeam explain [-summary] [-id ID] LOG...")
		flags.PrintDefaults()
	}
	id := flags.String("id", "", "request to tell of, by the ID that its caller sent")
	summary := flags.Bool("summary", false, "group failed requests by reason, route and engine")
	if err := flags.Parse(args); err != nil || flags.NArg() == 0 || (*id == "") == !*summary {
		flags.Usage()
		return ExitUsage
	}
	lines, err := readLogs(flags.Args())
	if err != nil {
		fmt.Fprintln(stderr, "primrosebeam:", err)
		return ExitFailure
	}
	if *summary {
		writeSummary(stdout, lines)
		return ExitSuccess
	}
	if !writeTimeline(stdout, lines, *id) {
		fmt.Fprintf(stderr, "primrosebeam: no line of request %s; it may have been left out under load (primrosebeam_log_lines_dropped_total), or not have reached these instances\n", *id)
		return ExitFailure
	}
	return ExitSuccess
}

// readLogs reads the structured lines of all files. A line may have a prefix, as log collectors add
// one; lines of other programs are passed over.
func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("command: log: %w", err)
		}
		scanner := bufio.NewScanner(file)
		scanner.Buffer(nil, maxLogLine)
		for number := 1; scanner.Scan(); number++ {
			if line, ok := parseLogLine(scanner.Bytes()); ok {
				line.file, line.number = path, number
				lines = append(lines, line)
			}
		}
		if err := errors.Join(scanner.Err(), file.Close()); err != nil {
			return nil, fmt.Errorf("command: log %s: %w", path, err)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	return lines, nil
}

func parseLogLine(text []byte) (logLine, bool) {
	at := strings.IndexByte(string(text), '{')
	if at < 0 {
		return logLine{}, false
	}
	line := logLine{fields: map[string]any{}}
	if json.Unmarshal(text[at:], &line.fields) != nil {
		return logLine{}, false
	}
	line.time = line.text("time")
	return line, line.text("message") != ""
}

func (l *logLine) text(name string) string {
	value, ok := l.fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// stateChanges are messages about lost and regained dependencies; those of the instance that served
// a request are part of its timeline.
var stateChanges = []string{
	"control instance lost", "control instance regained", "allocator changed", "list of engines lost", "list of engines regained",
	"configuration in force", "stop requested", "entry instance started", "engine gone from the list",
}

// contextLines is how many lines of state changes before a request are printed.
const contextLines = 8

func writeTimeline(w io.Writer, lines []logLine, id string) bool {
	found := false
	for i := range lines {
		if lines[i].text("id") != id {
			continue
		}
		if !found {
			writeContext(w, lines[:i], lines[i].text("instance"), lines[i].text("engine"))
		}
		found = true
		writeLine(w, &lines[i])
	}
	return found
}

// writeContext tells what the instance last learned before a request, and what is known of its engine.
func writeContext(w io.Writer, before []logLine, instance, engine string) {
	var told []logLine
	for i := len(before) - 1; i >= 0 && len(told) < contextLines; i-- {
		l := before[i]
		ofInstance := l.text("instance") == instance && slices.Contains(stateChanges, l.text("message"))
		ofEngine := engine != "" && l.text("engine") == engine && l.text("message") != "request"
		if ofInstance || ofEngine {
			told = append(told, l)
		}
	}
	slices.Reverse(told)
	for i := range told {
		writeLine(w, &told[i])
	}
}

func writeLine(w io.Writer, l *logLine) {
	skipped := []string{"time", "level", "message", "instance", "dataCentre"}
	fmt.Fprintf(w, "%s %s: %s", l.time, l.text("instance"), l.text("message"))
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(skipped, name) {
			fmt.Fprintf(w, " %s=%s", name, l.text(name))
		}
	}
	fmt.Fprintf(w, " (%s:%d)\n", l.file, l.number)
}

// writeSummary groups the requests that were not answered.
func writeSummary(w io.Writer, lines []logLine) {
	type group struct{ reason, status, route, engine string }
	counts := map[group]int{}
	requests, failed := 0, 0
	for i := range lines {
		l := &lines[i]
		if l.text("message") != "request" {
			continue
		}
		requests++
		if l.text("reason") == reasonAnswered {
			continue
		}
		failed++
		counts[group{l.text("reason"), l.text("status"), l.text("route"), l.text("engine")}]++
	}
	fmt.Fprintf(w, "%d requests, %d not answered\n", requests, failed)
	groups := slices.Collect(maps.Keys(counts))
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(fmt.Sprint(a), fmt.Sprint(b)))
	})
	for _, g := range groups {
		fmt.Fprintf(w, "%6d  %-22s status %-4s route %-12s engine %s\n", counts[g], g.reason, g.status, cmp.Or(g.route, "-"), cmp.Or(g.engine, "-"))
	}
}
