// Package tool implements the bramleysail command line.
package tool
