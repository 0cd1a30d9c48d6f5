// Package health judges a worker by how its tasks end, and keeps new ones off a worker that fails them.
package health
