package model

import "crypto/sha256"

// Tenant is a customer whose callers identify themselves by API keys.
type Tenant struct {
	Name TenantName `json:"name"`
	// Keys holds the digests of the tenant's API keys. The keys themselves are not kept.
	Keys []KeyDigest `json:"keys,omitempty"`
	// Priority ranks the requests of the tenant in place of the priority of their route; nil leaves that in force.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond and Burst are the tenant's quota of requests over all daemons; a RatePerSecond of 0 means no limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key. Keys are long random strings, so that a digest does not reveal them.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// HasQuota reports whether the requests of the tenant are limited.
func (t *Tenant) HasQuota() bool { return t.RatePerSecond > 0 }

// Weight is the weight of the tenant in fair queueing: its rate limit, or 1 if it has none.
func (t *Tenant) Weight() float64 {
	if t.HasQuota() {
		return t.RatePerSecond
	}
	return 1
}
