// Package scenario measures the scheduler in virtual time against a small fake engine. Everything
// lives in its test files; docs/SCHEDULING.md gives the command and the figures.
package scenario
