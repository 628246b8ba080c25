package command

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/settings"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

// fileValidators holds the validation function of each file type, by the name of its flag. The faults of a
// *strictjson.FaultsError are printed one per line.
var fileValidators = map[string]func(data []byte) error{
	"configuration": checkConfiguration,
	"settings":      checkSettings,
}

// maxFileBytes bounds the bytes that are read of a file. It exceeds the permitted size of every file type, so
// that the validation reports a file that is too large.
const maxFileBytes = 2 * configuration.MaxDocumentBytes

func checkConfiguration(data []byte) error {
	_, err := configuration.Parse(data)
	return err
}

func checkSettings(data []byte) error {
	_, err := settings.Parse(data)
	return err
}

func runCheck(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	flags.SetOutput(stderr)
	paths := map[string]*string{}
	for _, name := range slices.Sorted(maps.Keys(fileValidators)) {
		paths[name] = flags.String(name, "", name+" `file` to check")
	}
	if flags.Parse(args) != nil {
		return ExitUsage
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(stderr, "primrosebeam check: unexpected argument %q\n", flags.Arg(0))
		return ExitUsage
	}
	checked := 0
	code := ExitSuccess
	for _, name := range slices.Sorted(maps.Keys(paths)) {
		if path := *paths[name]; path != "" {
			checked++
			code = max(code, checkFile(path, fileValidators[name], stdout, stderr))
		}
	}
	if checked == 0 {
		fmt.Fprintln(stderr, "primrosebeam check: name a file to check")
		flags.Usage()
		return ExitUsage
	}
	return code
}

func checkFile(path string, check func([]byte) error, stdout, stderr io.Writer) int {
	data, err := readFile(path)
	if err != nil {
		fmt.Fprintln(stderr, "primrosebeam check:", err)
		return ExitFailure
	}
	if err := check(data); err != nil {
		printFaults(stdout, path, err)
		return ExitUsage
	}
	fmt.Fprintf(stdout, "%s: no faults\n", path)
	return ExitSuccess
}

// printFaults prints one line for each fault, in the FILE:LINE: MESSAGE format of compilers.
func printFaults(w io.Writer, path string, err error) {
	var faults *strictjson.FaultsError
	if !errors.As(err, &faults) {
		fmt.Fprintf(w, "%s: %v\n", path, err)
		return
	}
	for _, fault := range faults.Faults {
		fmt.Fprintf(w, "%s:%d: %s\n", path, fault.Line, formatFault(fault))
	}
}

// formatFault returns the text of a fault: field, reason and detail.
func formatFault(fault strictjson.Fault) string {
	text := string(fault.Reason)
	if fault.Field != "" {
		text = fault.Field + ": " + text
	}
	if fault.Detail != "" {
		text += ": " + fault.Detail
	}
	return text
}

// readFile reads at most maxFileBytes bytes of a file.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes))
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return data, nil
}
