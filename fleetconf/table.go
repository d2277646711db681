package fleetconf

import "github.com/cespare/xxhash/v2"

// tableShards is the number of shards of a table. A change copies only the array of
// shards and one shard, which has about 28 of 7,100 keys.
const tableShards = 256

// table is an immutable map, except for put: with and without return modified copies
// that share all unchanged shards with the original.
type table[V any] struct {
	shards *[tableShards]map[string]V // nil if nothing was added yet
	length int                        // number of keys
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % tableShards) }

func (t table[V]) get(key string) (V, bool) {
	if t.shards == nil {
		var zero V
		return zero, false
	}
	v, ok := t.shards[shardOf(key)][key]
	return v, ok
}

func (t table[V]) with(key string, v V) table[V] {
	next, shard := t.copyShard(key)
	shard[key] = v
	next.length = t.length + len(shard) - t.lenShard(key)
	return next
}

func (t table[V]) without(key string) table[V] {
	if _, ok := t.get(key); !ok {
		return t
	}
	next, shard := t.copyShard(key)
	delete(shard, key)
	next.length = t.length - 1
	return next
}

func (t table[V]) lenShard(key string) int {
	if t.shards == nil {
		return 0
	}
	return len(t.shards[shardOf(key)])
}

func (t table[V]) copyShard(key string) (table[V], map[string]V) {
	var shards [tableShards]map[string]V
	if t.shards != nil {
		shards = *t.shards
	}
	i := shardOf(key)
	shard := make(map[string]V, len(shards[i])+1)
	for k, v := range shards[i] {
		shard[k] = v
	}
	shards[i] = shard
	return table[V]{shards: &shards, length: t.length}, shard
}

// each calls f for every key and its value, in no particular order.
func (t table[V]) each(f func(key string, v V)) {
	if t.shards == nil {
		return
	}
	for _, shard := range t.shards {
		for k, v := range shard {
			f(k, v)
		}
	}
}

// put modifies the table in place. No other table may share its shards.
func (t *table[V]) put(key string, v V) {
	if t.shards == nil {
		t.shards = &[tableShards]map[string]V{}
	}
	i := shardOf(key)
	if t.shards[i] == nil {
		t.shards[i] = map[string]V{}
	}
	before := len(t.shards[i])
	t.shards[i][key] = v
	t.length += len(t.shards[i]) - before
}
