// Package testfolder chooses the folders of test clusters. Only tests use it.
package testfolder

import (
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// MemoryVariable names the environment variable that holds the path of a file system in memory. CI sets it.
const MemoryVariable = "PRIMROSEBEAM_TEST_MEMORY"

// minFreeBytes is the free space below which the file system in memory is not used.
const minFreeBytes = 512 << 20

// InMemory returns a folder that is removed at the end of the test. It is in memory where MemoryVariable names a file system with room for that,
// since a sync of a disk beside other programs may take longer than what a test waits for. Tests that check what a disk
// keeps, loses or refuses must use t.TempDir instead.
func InMemory(t testing.TB) string {
	t.Helper()
	memoryRoot := os.Getenv(MemoryVariable)
	if why := unusable(memoryRoot); why != "" {
		folder := t.TempDir()
		t.Logf("test folder on the usual file system, as %q (%s) is %s: %s", memoryRoot, MemoryVariable, why, folder)
		return folder
	}
	folder, err := os.MkdirTemp(memoryRoot, "primrosebeam-test-")
	if err != nil {
		folder = t.TempDir()
		t.Logf("test folder on the usual file system (%v): %s", err, folder)
		return folder
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(folder); err != nil {
			t.Error("test folder not removed: ", err)
		}
	})
	t.Log("test folder in memory: ", folder)
	return folder
}

// unusable returns why a folder is not used, or an empty string.
func unusable(folder string) string {
	var state unix.Statfs_t
	switch err := unix.Statfs(folder, &state); {
	case err != nil:
		return "not readable"
	case state.Type != unix.TMPFS_MAGIC:
		return "not in memory"
	case state.Bavail*uint64(state.Bsize) < minFreeBytes:
		return "too full"
	}
	return ""
}
