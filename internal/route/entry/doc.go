// Package entry takes callers' requests over HTTP and answers each exactly once: with
// the whole answer of a target, or with an error that says whether the request ran.
package entry
