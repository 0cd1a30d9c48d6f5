package bucket

import (
	"iter"
	"slices"
)

// Index keeps each of its items in the bucket of the item's level. The zero value is empty and ready to use; it
// isn't safe for concurrent use.
type Index[T comparable] struct {
	buckets   [][]T
	positions map[T]position
}

// position is where an item is.
type position struct {
	level int
	index int // in the level's bucket
}

// Set puts an item at a level, whether the index has it or not. A level below 0 counts as 0.
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

// Remove takes an item out of the index, if it is there.
func (x *Index[T]) Remove(item T) {
	p, ok := x.positions[item]
	if !ok {
		return
	}
	delete(x.positions, item)
	b := x.buckets[p.level]
	end := len(b) - 1
	if p.index < end {
		b[p.index] = b[end]
		x.positions[b[p.index]] = p
	}
	b[end] = *new(T)
	x.buckets[p.level] = b[:end]
}

// CountAtLeast returns how many items have at least a level.
func (x *Index[T]) CountAtLeast(level int) int {
	n := 0
	for l := max(level, 0); l < len(x.buckets); l++ {
		n += len(x.buckets[l])
	}
	return n
}

// SampleAtLeast returns the items of at least a level, the highest levels first. Of more than limit items it returns
// about limit, spread evenly over all of them; which ones depends on the offset.
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
