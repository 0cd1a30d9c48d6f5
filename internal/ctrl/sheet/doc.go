// Package sheet holds the operators' configuration: the day's sheet and which
// failure domains are out, as one record in the store whose number only grows.
package sheet
