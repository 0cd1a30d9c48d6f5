// Package world models the workers that the system serves, in virtual time: tasks under way,
// processors shared among them, users' loads that swing, and how filling tasks disturb serving ones.
package world
