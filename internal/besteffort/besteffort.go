// Package besteffort discards errors on purpose. It is for calls whose failure changes nothing: closing what nobody reads or
// writes any more, setting an option of a connection that may have ended, signalling a process that may have exited,
// answering a client that may have left. What such a failure means shows elsewhere, at the next read, write or wait.
//
// An error that somebody can act upon is handled where it occurs, never here: writes that must last, locks, commands.
package besteffort

import "io"

// Close closes c and discards the error: whoever calls it is done with c.
func Close(c io.Closer) { _ = c.Close() }

// Ignore discards err.
func Ignore(err error) { _ = err }

// IgnoreResult discards a result together with its error, such as the count of a write or copy.
func IgnoreResult[T any](_ T, err error) { _ = err }
