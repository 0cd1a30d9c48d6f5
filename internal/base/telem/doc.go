// Package telem sets up the telemetry of a process: logs, metrics and traces.
package telem
