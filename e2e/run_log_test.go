package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/primrosebeam/primrosebeam/internal/standin"
)

type run = standin.RunRecord

func (c *cluster) runLogPath(engine string) string { return filepath.Join(c.folder, engine+".runs") }

// runsOf returns all runs of a request on all engines, including engines that crashed.
func (c *cluster) runsOf(work string) []run {
	return c.runsWhere(func(r run) bool { return r.Work == work })
}

func (c *cluster) runsWhere(matches func(run) bool) []run {
	c.t.Helper()
	var runs []run
	for _, e := range c.engines {
		data, err := os.ReadFile(c.runLogPath(e.name))
		if err != nil {
			c.t.Fatal(err)
		}
		for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
			var r run
			if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
				c.t.Fatalf("run log of %s: %v", e.name, err)
			}
			if matches(r) {
				runs = append(runs, r)
			}
		}
	}
	return runs
}
