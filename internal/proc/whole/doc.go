// Package whole holds the tests of the whole path: real processes over loopback.
package whole
