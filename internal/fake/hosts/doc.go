// Package hosts is a stand-in for the platform's lagging host list.
package hosts
