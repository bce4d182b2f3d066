package traffic

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// requestIdentity returns the identity of a request: the value of the identity header of the route, else a digest of the
// method, the path and the route's digest fields of the JSON body, else none. With a digest it also returns how long the
// digest identifies the request.
func requestIdentity(once *model.Once, r *http.Request, body *requestBody) (string, time.Duration) {
	name := once.Header
	if name == "" {
		name = HeaderIdempotencyKey
	}
	if id := r.Header.Get(name); id != "" {
		return "key:" + id, 0
	}
	if len(once.DigestFields) == 0 || body.rest != nil {
		return "", 0
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(body.buffered, &fields) != nil {
		return "", 0
	}
	digest := sha256.New()
	digest.Write([]byte(r.Method + " " + r.URL.Path + "\n"))
	for _, field := range once.DigestFields {
		value, ok := fields[field]
		if !ok {
			return "", 0
		}
		// Decoding and encoding again makes the digest independent of white space and of the order of members.
		var parsed any
		if json.Unmarshal(value, &parsed) != nil {
			return "", 0
		}
		canonical, err := json.Marshal([]any{field, parsed})
		if err != nil {
			return "", 0
		}
		digest.Write(canonical)
	}
	return "digest:" + hex.EncodeToString(digest.Sum(nil)), time.Duration(once.WindowSeconds) * time.Second
}
