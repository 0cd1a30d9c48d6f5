// Package stall tells how long this process has stood still, and so how old what it reads may be.
package stall
