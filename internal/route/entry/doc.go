// Package entry handles callers' HTTP requests and answers each exactly once: with the whole
// answer of a target, or with a failure that says whether the request ran.
package entry
