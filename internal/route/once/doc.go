// Package once remembers the ids of non-idempotent requests so that a repeat, also
// through another entry process, never runs a second time.
package once
