// Command standin-engine runs a stand-in engine, for trying out instances by hand. It is no part of primrosebeam.
package main

import (
	"os"

	"github.com/primrosebeam/primrosebeam/internal/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stderr))
}
