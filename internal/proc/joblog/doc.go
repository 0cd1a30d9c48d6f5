// Package joblog reads the logs of any number of hosts and rebuilds from them what happened to a job and what
// delayed it.
package joblog
