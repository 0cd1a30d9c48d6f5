// Package world3 holds stand-ins of the platform for the review's scripts: the store, the runners, clients, and the entry
// processes of the system, which it starts as separate processes. They follow the platform's pages.
package world3
