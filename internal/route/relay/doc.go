// Package relay sends one request to one target and takes back its whole answer, or
// says how far it got.
package relay
