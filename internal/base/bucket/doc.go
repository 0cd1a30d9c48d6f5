// Package bucket keeps items by a coarse level, so that those of at least some level are found without
// walking over all items.
package bucket
