// Package conf reads and validates the settings files of processes: Settings of an entry process,
// HostSettings of a process on the platform.
package conf
