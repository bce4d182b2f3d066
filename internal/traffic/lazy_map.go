package traffic

import "sync"

// lazyMap holds one value per key, which is created when it is first used. The zero value is an empty map.
type lazyMap[K comparable, V any] struct{ values sync.Map }

// get returns the value of a key, and creates it if there is none. Concurrent first callers get the same value.
func (m *lazyMap[K, V]) get(key K, create func(K) *V) *V {
	value, ok := m.values.Load(key)
	if !ok {
		value, _ = m.values.LoadOrStore(key, create(key))
	}
	return value.(*V)
}

// newZero returns a new zero value for any key.
func newZero[K comparable, V any](K) *V { return new(V) }
