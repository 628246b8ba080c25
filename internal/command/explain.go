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

// logLine is one JSON log line and its position in a file.
type logLine struct {
	file       string
	lineNumber int
	time       string
	fields     map[string]any
}

// maxLogLineBytes bounds the length of a line; no line of this program is longer. Longer ones are skipped.
const maxLogLineBytes = 1 << 20

// reasonCompleted is the reason field of requests that received a complete response.
const reasonCompleted = "answered"

func runExplain(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintln(stderr, "usage: primrosebeam explain [-summary] [-id ID] LOG...")
		flags.PrintDefaults()
	}
	id := flags.String("id", "", "request to tell of, by the ID that its caller sent")
	summary := flags.Bool("summary", false, "group failed requests by reason, route and engine")
	if !parseFlags(flags, args, func() bool { return flags.NArg() == 0 || (*id == "") == !*summary }) {
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

// readLogs reads the JSON log lines of all files and sorts them by time. A line may have a prefix, as log
// collectors add one. Lines of other programs are skipped.
func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("command: log: %w", err)
		}
		err = forEachLine(file, func(number int, text []byte) {
			if line, ok := parseLogLine(text); ok {
				line.file, line.lineNumber = path, number
				lines = append(lines, line)
			}
		})
		if err := errors.Join(err, file.Close()); err != nil {
			return nil, fmt.Errorf("command: log %s: %w", path, err)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	return lines, nil
}

// forEachLine calls handle for each line that is not longer than maxLogLineBytes. Lines are numbered from 1; the
// text is valid during the call.
func forEachLine(in io.Reader, handle func(number int, text []byte)) error {
	reader := bufio.NewReaderSize(in, maxLogLineBytes)
	for number := 1; ; number++ {
		text, err := reader.ReadSlice('\n')
		tooLong := false
		for errors.Is(err, bufio.ErrBufferFull) {
			tooLong = true
			_, err = reader.ReadSlice('\n')
		}
		if !tooLong && len(text) > 0 {
			handle(number, text)
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// parseLogLine decodes the JSON object that starts at the first brace of a line. It returns false when there
// is none or when the object has no message.
func parseLogLine(text []byte) (logLine, bool) {
	start := strings.IndexByte(string(text), '{')
	if start < 0 {
		return logLine{}, false
	}
	line := logLine{fields: map[string]any{}}
	if json.Unmarshal(text[start:], &line.fields) != nil {
		return logLine{}, false
	}
	line.time = line.fieldText("time")
	return line, line.fieldText("message") != ""
}

// fieldText returns the text of a field, or "" when the line does not have it.
func (l *logLine) fieldText(name string) string {
	value, ok := l.fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// stateChangeMessages are the log messages about lost and restored dependencies. The timeline of a request
// includes those of the instance that served it.
var stateChangeMessages = []string{
	"control instance lost", "control instance regained", "allocator changed", "list of engines lost", "list of engines regained",
	"allocator was paused", "configuration in force", "stop requested", "entry instance started", "engine gone from the list",
}

// maxContextLines is the maximum number of earlier lines that are printed as the context of a request.
const maxContextLines = 8

// writeTimeline prints the lines of one request and the state changes before it. It returns false when no
// line has the request ID.
func writeTimeline(w io.Writer, lines []logLine, id string) bool {
	found := false
	for i := range lines {
		if lines[i].fieldText("id") != id {
			continue
		}
		if !found {
			writeContext(w, lines[:i], lines[i].fieldText("instance"), lines[i].fieldText("engine"))
		}
		found = true
		writeLine(w, &lines[i])
	}
	return found
}

// writeContext prints the last state changes before a request that its instance logged, and the last lines
// about its engine.
func writeContext(w io.Writer, before []logLine, instance, engine string) {
	var selected []logLine
	for i := len(before) - 1; i >= 0 && len(selected) < maxContextLines; i-- {
		l := before[i]
		sameInstance := l.fieldText("instance") == instance && slices.Contains(stateChangeMessages, l.fieldText("message"))
		sameEngine := engine != "" && l.fieldText("engine") == engine && l.fieldText("message") != "request"
		if sameInstance || sameEngine {
			selected = append(selected, l)
		}
	}
	slices.Reverse(selected)
	for i := range selected {
		writeLine(w, &selected[i])
	}
}

func writeLine(w io.Writer, l *logLine) {
	skipped := []string{"time", "level", "message", "instance", "dataCentre"}
	fmt.Fprintf(w, "%s %s: %s", l.time, l.fieldText("instance"), l.fieldText("message"))
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(skipped, name) {
			fmt.Fprintf(w, " %s=%s", name, l.fieldText(name))
		}
	}
	fmt.Fprintf(w, " (%s:%d)\n", l.file, l.lineNumber)
}

// writeSummary prints how many requests got no complete response, by reason, status, route and engine.
func writeSummary(w io.Writer, lines []logLine) {
	type group struct{ reason, status, route, engine string }
	counts := map[group]int{}
	requests, failed := 0, 0
	for i := range lines {
		l := &lines[i]
		if l.fieldText("message") != "request" {
			continue
		}
		requests++
		if l.fieldText("reason") == reasonCompleted {
			continue
		}
		failed++
		counts[group{l.fieldText("reason"), l.fieldText("status"), l.fieldText("route"), l.fieldText("engine")}]++
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
