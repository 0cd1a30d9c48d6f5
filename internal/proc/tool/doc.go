// Package tool is the command line.
package tool
