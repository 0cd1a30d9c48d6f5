// Package bucket indexes items by a coarse level, so that the items of at least a given level are
// found without iterating over all items.
package bucket
