// Package trial simulates scenarios under several scheduling policies and compares them by the value
// that the callers' jobs earn.
package trial
