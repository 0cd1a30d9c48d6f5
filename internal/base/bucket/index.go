package bucket

import (
	"iter"
	"slices"
)

// Index holds items, each in the bucket of the item's level. The zero value is empty and ready to use. It
// isn't safe for concurrent use.
type Index[T comparable] struct {
	buckets   [][]T          // items by level
	positions map[T]position // by item
}

// position is the place of an item in the buckets.
type position struct {
	level int
	index int // in the level's bucket
}

// Set adds an item at a level, or moves it there if the index has it already. A level below 0 counts as 0.
func (x *Index[T]) Set(item T, level int) {
	level = max(level, 0)
	if p, ok := x.positions[item]; ok {
		if p.level == level {
			return
		}
		x.Remove(item)
	}
	if x.positions == nil {
		x.positions = map[T]position{}
	}
	if level >= len(x.buckets) {
		x.buckets = append(x.buckets, make([][]T, level+1-len(x.buckets))...)
	}
	x.positions[item] = position{level, len(x.buckets[level])}
	x.buckets[level] = append(x.buckets[level], item)
}

// Remove removes an item if the index has it.
func (x *Index[T]) Remove(item T) {
	p, ok := x.positions[item]
	if !ok {
		return
	}
	delete(x.positions, item)
	b := x.buckets[p.level]
	last := len(b) - 1
	if p.index < last {
		b[p.index] = b[last]
		x.positions[b[p.index]] = p
	}
	b[last] = *new(T)
	x.buckets[p.level] = b[:last]
}

// CountAtLeast returns the number of items whose level is at least the given one.
func (x *Index[T]) CountAtLeast(level int) int {
	n := 0
	for l := max(level, 0); l < len(x.buckets); l++ {
		n += len(x.buckets[l])
	}
	return n
}

// SampleAtLeast returns the items whose level is at least the given one, highest levels first. If there are more
// than limit, it returns about limit of them, evenly spaced; the offset determines which ones.
func (x *Index[T]) SampleAtLeast(level, limit, offset int) iter.Seq[T] {
	stride := max(1, x.CountAtLeast(level)/max(limit, 1))
	return func(yield func(T) bool) {
		next := offset % stride
		for _, b := range slices.Backward(x.buckets[min(max(level, 0), len(x.buckets)):]) {
			for next < len(b) {
				if !yield(b[next]) {
					return
				}
				next += stride
			}
			next -= len(b)
		}
	}
}
