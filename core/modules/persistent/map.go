// Package persistent implements persistent data structures: immutable collections whose modified copies share most of
// their memory with the original.
package persistent

import (
	"hash/maphash"
	"iter"
	"maps"
)

const (
	// branchBits is the number of hash bits that each of the two levels consumes.
	branchBits = 6
	branches   = 1 << branchBits
)

// Map is an immutable map from names to values. It is divided into 4,096 shards, of which a change copies only one. The
// zero value is an empty map.
type Map[V any] struct {
	size int
	// shards holds the elements by hash; the arrays and maps that it points to are never written after the map is returned.
	shards *[branches]*[branches]map[string]V
}

var seed = maphash.MakeSeed()

// shardIndexes returns the index of the branch and of the shard within it that hold a name.
func shardIndexes(name string) (int, int) {
	hash := maphash.String(seed, name)
	return int(hash % branches), int(hash >> branchBits % branches)
}

// NewMap returns a map of the given elements; of several with the same name the last one counts.
func NewMap[V any](elements iter.Seq2[string, V]) Map[V] {
	m := Map[V]{shards: new([branches]*[branches]map[string]V)}
	for name, v := range elements {
		outer, inner := shardIndexes(name)
		if m.shards[outer] == nil {
			m.shards[outer] = new([branches]map[string]V)
		}
		shard := &m.shards[outer][inner]
		if *shard == nil {
			*shard = map[string]V{}
		}
		before := len(*shard)
		(*shard)[name] = v
		m.size += len(*shard) - before
	}
	return m
}

// Len returns the number of elements.
func (m Map[V]) Len() int { return m.size }

// Get returns the value of a name.
func (m Map[V]) Get(name string) (V, bool) {
	v, ok := m.shard(name)[name]
	return v, ok
}

// All iterates over all elements in no particular order.
func (m Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if m.shards == nil {
			return
		}
		for _, branch := range m.shards {
			if branch == nil {
				continue
			}
			for _, shard := range branch {
				for name, v := range shard {
					if !yield(name, v) {
						return
					}
				}
			}
		}
	}
}

// With returns a copy of the map in which the name has the value.
func (m Map[V]) With(name string, v V) Map[V] {
	shard := maps.Clone(m.shard(name))
	if shard == nil {
		shard = map[string]V{}
	}
	shard[name] = v
	return m.replace(name, shard)
}

// Without returns a copy of the map that lacks the name.
func (m Map[V]) Without(name string) Map[V] {
	if _, ok := m.Get(name); !ok {
		return m
	}
	shard := maps.Clone(m.shard(name))
	delete(shard, name)
	return m.replace(name, shard)
}

func (m Map[V]) shard(name string) map[string]V {
	if m.shards == nil {
		return nil
	}
	outer, inner := shardIndexes(name)
	if m.shards[outer] == nil {
		return nil
	}
	return m.shards[outer][inner]
}

// replace returns a copy of the map with another shard for the name.
func (m Map[V]) replace(name string, shard map[string]V) Map[V] {
	size := m.size + len(shard) - len(m.shard(name))
	outer, inner := shardIndexes(name)
	shards := new([branches]*[branches]map[string]V)
	if m.shards != nil {
		*shards = *m.shards
	}
	branch := new([branches]map[string]V)
	if shards[outer] != nil {
		*branch = *shards[outer]
	}
	branch[inner] = shard
	shards[outer] = branch
	return Map[V]{size: size, shards: shards}
}
