// Command bed runs the project's own programs against stand-ins of the users' platform, its runners and its clients, with
// disruptions from outside, and judges what these have seen. The scripts of the cases start it.
package main
