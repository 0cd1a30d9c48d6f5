// Package sheet holds the operators' configuration: the sheet, which declares what is to be served and run, and the
// evacuated failure domains. It is one record in the store, and its version only grows.
package sheet
