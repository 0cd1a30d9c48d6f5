// Package link carries calls between entry processes over net/rpc.
package link
