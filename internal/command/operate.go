package command

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/control"
	"github.com/primrosebeam/primrosebeam/internal/operator"
	"github.com/primrosebeam/primrosebeam/label"
)

// tokenVariable is the environment variable that holds the operators' token.
const tokenVariable = "PRIMROSEBEAM_TOKEN"

// operation holds the flags, output and client of one run of an operators' subcommand.
type operation struct {
	name           string
	flags          *flag.FlagSet
	server         *string
	tokenFile      *string
	stdout, stderr io.Writer
	client         *operator.Client
}

func newOperation(name, arguments string, stdout, stderr io.Writer) *operation {
	o := &operation{name: name, flags: flag.NewFlagSet(name, flag.ContinueOnError), stdout: stdout, stderr: stderr}
	o.flags.SetOutput(stderr)
	o.server = o.flags.String("server", "", "`URL` of the operators' interface of any instance")
	o.tokenFile = o.flags.String("token-file", "", "`file` with the operators' token; otherwise "+tokenVariable)
	o.flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: primrosebeam %s [flags] %s\n", name, arguments)
		o.flags.PrintDefaults()
	}
	return o
}

// parse parses the arguments and creates the client. It reports whether the command can continue. minArgs
// and maxArgs bound the number of arguments after the flags; a negative maxArgs means no upper bound.
func (o *operation) parse(args []string, minArgs, maxArgs int) bool {
	if o.flags.Parse(args) != nil {
		return false
	}
	if n := o.flags.NArg(); n < minArgs || maxArgs >= 0 && n > maxArgs {
		fmt.Fprintf(o.stderr, "primrosebeam %s: wrong number of arguments\n", o.name)
		o.flags.Usage()
		return false
	}
	token, err := o.token()
	if err != nil {
		fmt.Fprintf(o.stderr, "primrosebeam %s: %v\n", o.name, err)
		return false
	}
	o.client, err = operator.NewClient(*o.server, token)
	if err != nil {
		fmt.Fprintf(o.stderr, "primrosebeam %s: -server: %v\n", o.name, err)
		return false
	}
	return true
}

// missingTokenError reports that neither the flag nor the environment provides a token.
type missingTokenError struct{}

func (*missingTokenError) Error() string { return "no token: use -token-file or " + tokenVariable }

// token returns the token of the token file or, without that flag, of the environment.
func (o *operation) token() (string, error) {
	text := os.Getenv(tokenVariable)
	if *o.tokenFile != "" {
		data, err := readFile(*o.tokenFile)
		if err != nil {
			return "", err
		}
		text = string(data)
	}
	text = strings.TrimSpace(text)
	if text == "" {
		return "", &missingTokenError{}
	}
	return text, nil
}

// reportError prints the error of a request and returns the exit code. A change whose response was lost has
// an unknown outcome, which changeOperation.finish reports.
func (o *operation) reportError(err error) int {
	fmt.Fprintf(o.stderr, "primrosebeam %s: %v\n", o.name, err)
	var problem *operator.Problem
	if errors.As(err, &problem) && problem.Type == operator.ProblemUndetermined {
		return ExitUndetermined
	}
	return ExitFailure
}

func runGet(args []string, stdout, stderr io.Writer) int {
	o := newOperation("get", "", stdout, stderr)
	if !o.parse(args, 0, 0) {
		return ExitUsage
	}
	current, err := o.client.Configuration(context.Background())
	if err != nil {
		return o.reportError(err)
	}
	// Only the document goes to stdout, so that the output can be edited and applied.
	fmt.Fprintf(stderr, "version %d\n", current.Version)
	if len(current.Document) == 0 {
		return ExitSuccess
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, current.Document, "", "  "); err != nil {
		return o.reportError(err)
	}
	return o.print(append(indented.Bytes(), '\n'))
}

func (o *operation) print(text []byte) int {
	if _, err := o.stdout.Write(text); err != nil {
		return o.reportError(err)
	}
	return ExitSuccess
}

func runStatus(args []string, stdout, stderr io.Writer) int {
	o := newOperation("status", "", stdout, stderr)
	changeID := o.flags.String("change-id", "", "ask what became of the change with this `ID` instead")
	if !o.parse(args, 0, 0) {
		return ExitUsage
	}
	if *changeID == "" {
		return o.printResponse("v1", "status")
	}
	result, err := o.client.Outcome(context.Background(), *changeID)
	if err != nil {
		return o.reportError(err)
	}
	return o.reportResult(result)
}

func runDump(args []string, stdout, stderr io.Writer) int {
	o := newOperation("dump", "", stdout, stderr)
	if !o.parse(args, 0, 0) {
		return ExitUsage
	}
	return o.printResponse("v1", "dump")
}

// printResponse prints the JSON body of a GET request.
func (o *operation) printResponse(path ...string) int {
	text, err := o.client.GetRaw(context.Background(), path...)
	if err != nil {
		return o.reportError(err)
	}
	return o.print(append(bytes.TrimSpace(text), '\n'))
}

// changeOperation is an operation that sends a change, with the flags that all such subcommands have.
type changeOperation struct {
	*operation
	base     *uint64
	changeID *string
	operator *string
}

func newChangeOperation(name, arguments, base string, stdout, stderr io.Writer) *changeOperation {
	o := newOperation(name, arguments, stdout, stderr)
	return &changeOperation{
		operation: o,
		base:      o.flags.Uint64("base", 0, base),
		changeID:  o.flags.String("change-id", "", "`ID` of the change; the same ID and base for a resend; generated when missing"),
		operator:  o.flags.String("operator", os.Getenv("USER"), "`name` to record with the change"),
	}
}

// isFlagSet reports whether a flag was set on the command line.
func (c *changeOperation) isFlagSet(name string) (found bool) {
	c.flags.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

// prepare determines the base version and the change ID and prints both before the change is sent. If the
// response is lost, the operator can retry the change or query its outcome with them.
func (c *changeOperation) prepare() (code int, ok bool) {
	if !c.isFlagSet("base") {
		if c.isFlagSet("change-id") {
			fmt.Fprintf(c.stderr, "primrosebeam %s: a resend with -change-id needs the same -base as before\n", c.name)
			return ExitUsage, false
		}
		current, err := c.client.Configuration(context.Background())
		if err != nil {
			return c.reportError(err), false
		}
		*c.base = uint64(current.Version)
	}
	if *c.changeID == "" {
		*c.changeID = rand.Text()
	}
	if err := configuration.CheckID(*c.changeID); err != nil {
		fmt.Fprintf(c.stderr, "primrosebeam %s: %v\n", c.name, err)
		return ExitUsage, false
	}
	fmt.Fprintf(c.stderr, "change %s on base %d\n", *c.changeID, *c.base)
	return ExitSuccess, true
}

// finish prints the result of a change and returns the exit code.
func (c *changeOperation) finish(result control.ChangeResult, err error) int {
	var problem *operator.Problem
	var noResponse *operator.NoResponseError
	switch {
	case err == nil:
		return c.reportResult(result)
	case errors.As(err, &noResponse), errors.As(err, &problem) && problem.Type == operator.ProblemUndetermined:
		fmt.Fprintf(c.stderr, "primrosebeam %s: %v\n", c.name, err)
		fmt.Fprintf(c.stderr, "undetermined: ask again with -base %d -change-id %s\n", *c.base, *c.changeID)
		return ExitUndetermined
	case errors.As(err, &problem) && problem.Type == operator.ProblemInvalid:
		for _, fault := range problem.Faults {
			fmt.Fprintf(c.stdout, "line %d: %s\n", fault.Line, formatFault(fault))
		}
		c.reportError(err)
		return ExitUsage
	}
	return c.reportError(err)
}

// reportResult prints the result of a change and returns the exit code.
func (o *operation) reportResult(result control.ChangeResult) int {
	switch result.Outcome {
	case control.OutcomeAccepted:
		fmt.Fprintf(o.stdout, "accepted: version %d is in force in every data centre\n", result.Version)
		return ExitSuccess
	case control.OutcomeCommitted:
		fmt.Fprintf(o.stdout, "committed: version %d, not yet in force in %s\n", result.Version, result.MissingIn)
		return ExitSuccess
	case control.OutcomeInvalid:
		for _, fault := range result.Faults {
			fmt.Fprintf(o.stdout, "line %d: %s\n", fault.Line, formatFault(fault))
		}
		fmt.Fprintln(o.stdout, "invalid: nothing was changed")
		return ExitUsage
	case control.OutcomeConflict:
		fmt.Fprintf(o.stdout, "conflict: nothing was changed; the version was %d\n", result.Version)
		return ExitFailure
	}
	fmt.Fprintln(o.stdout, "undetermined: ask again with the same change ID")
	return ExitUndetermined
}

func runApply(args []string, stdout, stderr io.Writer) int {
	c := newChangeOperation("apply", "FILE", "`version` that the file was made from; 0 for the first one; required", stdout, stderr)
	if !c.parse(args, 1, 1) {
		return ExitUsage
	}
	if !c.isFlagSet("base") {
		fmt.Fprintln(stderr, "primrosebeam apply: -base is required")
		return ExitUsage
	}
	path := c.flags.Arg(0)
	text, err := readFile(path)
	if err != nil {
		return c.reportError(err)
	}
	if _, err := configuration.Parse(text); err != nil {
		printFaults(stdout, path, err)
		return ExitUsage
	}
	if code, ok := c.prepare(); !ok {
		return code
	}
	change := configuration.Change{ID: *c.changeID, Base: configuration.Version(*c.base), Operator: *c.operator}
	return c.finish(c.client.Apply(context.Background(), change, text))
}

func runLabel(args []string, stdout, stderr io.Writer) int {
	c := newChangeOperation("label", "ENGINE KEY=VALUE... KEY-...", "`version` to edit; the current one when missing", stdout, stderr)
	if !c.parse(args, 2, -1) {
		return ExitUsage
	}
	request := operator.LabelRequest{Set: label.Set{}, Operator: *c.operator}
	for _, argument := range c.flags.Args()[1:] {
		if key, removed := strings.CutSuffix(argument, "-"); removed && !strings.Contains(argument, "=") {
			request.Remove = append(request.Remove, key)
			continue
		}
		set, err := label.ParseSet(argument)
		if err != nil || len(set) != 1 {
			fmt.Fprintf(stderr, "primrosebeam label: %q: want KEY=VALUE or KEY-\n", argument)
			return ExitUsage
		}
		for key, value := range set {
			request.Set[key] = value
		}
	}
	if code, ok := c.prepare(); !ok {
		return code
	}
	request.ChangeID = *c.changeID
	request.Base = configuration.Version(*c.base)
	return c.finish(c.client.Label(context.Background(), c.flags.Arg(0), request))
}

func runDrain(args []string, stdout, stderr io.Writer) int {
	c := newChangeOperation("drain", "ENGINE", "`version` to edit; the current one when missing", stdout, stderr)
	off := c.flags.Bool("off", false, "end the drain")
	if !c.parse(args, 1, 1) {
		return ExitUsage
	}
	if code, ok := c.prepare(); !ok {
		return code
	}
	on := !*off
	request := operator.DrainRequest{ChangeID: *c.changeID, Base: configuration.Version(*c.base), Operator: *c.operator, On: &on}
	return c.finish(c.client.Drain(context.Background(), c.flags.Arg(0), request))
}
