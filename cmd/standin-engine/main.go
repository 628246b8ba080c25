// Command standin-engine runs a stand-in for an engine, for manual trials of instances. It is not part of a
// primrosebeam installation.
package main

import (
	"os"

	"github.com/primrosebeam/primrosebeam/internal/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stderr))
}
