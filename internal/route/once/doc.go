// Package once runs non-idempotent requests at most once. A replicated registry of request
// ids detects a repeat of a request, also one that comes through another entry process.
package once
