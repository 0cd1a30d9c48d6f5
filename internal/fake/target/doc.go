// Package target is a stand-in for a target: an HTTP server with a fixed number
// of slots that can be slow, refuse, and garble its answers in each way that the
// request path has to survive.
package target
