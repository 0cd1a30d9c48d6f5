// Package hosts reads the platform's lagging list of hosts: which are live and
// which are leaving.
package hosts
