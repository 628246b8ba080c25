package standin

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"
)

// readHeaderTimeout bounds the time that a client takes to send the headers of a request.
const readHeaderTimeout = 10 * time.Second

// Main serves one stand-in engine until its server fails, and returns the exit code.
func Main(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("standin-engine", flag.ContinueOnError)
	flags.SetOutput(stderr)
	kind := flags.String("kind", "model", "model or plain")
	address := flags.String("address", "127.0.0.1:9100", "listening address")
	interval := flags.Duration("interval", time.Millisecond, "time between tokens, or before a plain answer")
	runs := flags.String("runs", "", "file that receives one line for each request before it runs; empty means none")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	var engine Engine = NewModel(ModelOptions{Name: *address, TokenInterval: *interval})
	if *kind == "plain" {
		engine = NewPlain(*address, *interval)
	}
	handler := WithControl(engine)
	if *runs != "" {
		logged, err := withRunLog(*runs, handler)
		if err != nil {
			fmt.Fprintln(stderr, err)
			return 1
		}
		handler = logged
	}
	server := &http.Server{Addr: *address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	fmt.Fprintln(stderr, server.ListenAndServe())
	return 1
}
