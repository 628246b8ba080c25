// Package scenario measures the scheduler in virtual time against fake engines. All code is in the test
// files; docs/SCHEDULING.md gives the command and the results.
package scenario
