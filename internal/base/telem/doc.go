// Package telem sets up what a process tells of itself: logs, metrics and traces.
package telem
