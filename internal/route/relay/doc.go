// Package relay sends a request to a target and returns the target's whole answer, or an error
// that says whether the request may have run.
package relay
