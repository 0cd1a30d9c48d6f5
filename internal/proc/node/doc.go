// Package node assembles a serving process from its parts and runs it.
package node
