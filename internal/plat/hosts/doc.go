// Package hosts reads the platform's list of hosts, which says which hosts are live and
// which are leaving. The list lags behind the actual state.
package hosts
