// Package hosts is a stand-in for the platform's host list, which lags behind the hosts' real state.
package hosts
