// Package report computes from hosts' logs, for all jobs of a time span, in which phases the jobs spent their time and
// what delayed them.
package report
