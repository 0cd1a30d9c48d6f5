// Package target is a stand-in for a target: an HTTP server with a fixed number
// of slots that can be slow, refuse requests, and send invalid answers of each kind
// that the request path has to withstand.
package target
