// Command primrosebeam runs instances of the request scheduler and operates them.
package main

import (
	"os"

	"github.com/primrosebeam/primrosebeam/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
