// Package concurrency learns how many requests an engine takes well at the same time. Limit is an adaptive concurrency
// limit, Curve a linear fit of a duration over the number of requests that it was measured at. Both data planes use
// them: package engine in each instance, package placement for all instances together.
//
// The package performs no I/O, starts no goroutines and reads no clock: the caller passes the time.
package concurrency
