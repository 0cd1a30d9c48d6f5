// Package story tells from log lines, of any number of hosts, what became of a job and why.
package joblog
