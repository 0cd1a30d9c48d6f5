// Package broker runs a pool's decisions for one service: it gives callers their
// slots, exchanges permits with peers over net/rpc, and takes targets over.
package broker
