// Package report draws from hosts' logs where the time of all jobs of a span went.
package report
