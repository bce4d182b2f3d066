package traffic

import "sync"

// keyed holds one value per key, made on its first use. The zero value is empty and ready.
type keyed[K comparable, V any] struct{ values sync.Map }

// get returns the value of a key. Callers that come first at the same time get the same value.
func (k *keyed[K, V]) get(key K, fresh func(K) *V) *V {
	known, ok := k.values.Load(key)
	if !ok {
		known, _ = k.values.LoadOrStore(key, fresh(key))
	}
	return known.(*V)
}

// zero makes a value that needs no key.
func zero[K comparable, V any](K) *V { return new(V) }
