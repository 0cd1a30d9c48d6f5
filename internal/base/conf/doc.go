// Package conf reads and checks the settings of a process.
package conf
