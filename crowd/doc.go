// Package crowd holds tests with callers outside the limits: many at once, which send too much, too slowly or not to
// the end, or do not read. The system's own processes run on loopback addresses with lowered limits. The tests check that
// a process lives, that its memory and descriptors stay within its settings, and that ordinary requests are answered.
//
// They are run one at a time and apart from other load, with the flag -crowd.
package crowd
