package traffic

import "sync"

// lazyMap holds one value per key, made on its first use. The zero value is empty and ready.
type lazyMap[K comparable, V any] struct{ values sync.Map }

// get returns the value of a key. Callers that come first at the same time get the same value.
func (m *lazyMap[K, V]) get(key K, create func(K) *V) *V {
	value, ok := m.values.Load(key)
	if !ok {
		value, _ = m.values.LoadOrStore(key, create(key))
	}
	return value.(*V)
}

// newZero makes a value that needs no key.
func newZero[K comparable, V any](K) *V { return new(V) }
