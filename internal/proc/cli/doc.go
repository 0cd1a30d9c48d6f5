// Package cli is the command line.
package cli
