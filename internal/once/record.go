package once

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/claims"
	"sniperail.example/sniperail/internal/store"
)

// record is the JSON form of claims.Record. Deadline is in Unix milliseconds.
type record struct {
	ID       string              `json:"id"`
	Owner    string              `json:"owner"`
	Phase    claims.Phase        `json:"phase"`
	Deadline int64               `json:"deadline_ms"`
	Status   int                 `json:"status,omitempty"`
	Header   map[string][]string `json:"header,omitempty"`
	Body     []byte              `json:"body,omitempty"`
	Dropped  bool                `json:"dropped,omitempty"`
}

func encodeRecord(r claims.Record) ([]byte, error) {
	data, err := json.Marshal(record{
		ID: r.ID, Owner: r.Owner, Phase: r.Phase, Deadline: r.Deadline.UnixMilli(),
		Status: r.Response.Status, Header: r.Response.Header, Body: r.Response.Body, Dropped: r.Dropped,
	})
	return data, errors.Wrap(err, "encode claim")
}

// decodeRecord decodes a record. If the data is invalid or lacks the fields that a replay needs, it returns a record
// without a phase: the key is claimed by an unknown owner, so the request must not run.
func decodeRecord(data []byte) claims.Record {
	var r record
	if json.Unmarshal(data, &r) != nil {
		return claims.Record{}
	}
	decoded := claims.Record{
		ID: r.ID, Owner: r.Owner, Phase: r.Phase, Deadline: time.UnixMilli(r.Deadline),
		Response: claims.Response{Status: r.Status, Header: r.Header, Body: r.Body}, Dropped: r.Dropped,
	}
	if r.Phase == claims.Done && !r.Dropped && (r.Status < 100 || r.Status > 999) {
		decoded.Phase, decoded.Response = "", claims.Response{}
	}
	return decoded
}

// encodeBatch returns the transaction of a batch.
func encodeBatch(steps []claims.Step) (store.Txn, error) {
	var txn store.Txn
	for _, step := range steps {
		compare := store.Compare{Key: step.Key}
		if step.Operation != claims.Create {
			compare.UseCreate, compare.CreateRevision = true, step.Revision
		}
		txn.Compares = append(txn.Compares, compare)
		if step.Operation == claims.Delete {
			txn.Deletes = append(txn.Deletes, step.Key)
			continue
		}
		value, err := encodeRecord(step.Record)
		if err != nil {
			return store.Txn{}, err
		}
		txn.Puts = append(txn.Puts, store.Put{Key: step.Key, Value: value, Lease: step.Lease})
	}
	return txn, nil
}

// decodeWritten converts the result of a write to an event.
func decodeWritten(result store.Result) claims.Written {
	written := claims.Written{Outcome: result.Outcome, Revision: result.Revision, Existing: map[string]claims.StoredClaim{}}
	for _, entry := range result.Entries {
		written.Existing[entry.Key] = claims.StoredClaim{
			Record: decodeRecord(entry.Value), CreateRevision: entry.CreateRevision, Lease: entry.Lease,
		}
	}
	return written
}
