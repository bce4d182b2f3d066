package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/platform/wire"
	"sniperail.example/sniperail/internal/store"
)

// EtcdProtocol is the Protocol of the etcd v3 JSON-over-HTTP API.
type EtcdProtocol struct{}

var _ Protocol = EtcdProtocol{}

// Encode returns the request of a call. An error means that the call cannot be expressed.
func (EtcdProtocol) Encode(call store.Call) (Request, error) {
	var path string
	var message any
	switch call.Kind {
	case store.KindGet:
		path, message = wire.PathRange, wire.RangeRequest{Key: []byte(call.Key)}
	case store.KindList:
		path, message = wire.PathRange, wire.RangeRequest{
			Key: []byte(call.Key), RangeEnd: wire.PrefixEnd(call.Key), Limit: wire.Int64(call.Limit),
		}
	case store.KindTxn:
		path, message = wire.PathTxn, encodeTxn(call.Txn)
	case store.KindGrant:
		path, message = wire.PathGrant, wire.GrantRequest{TTL: wire.Int64(ceilSeconds(call.TTL))}
	case store.KindKeepAlive:
		path, message = wire.PathKeepAlive, wire.LeaseRequest{ID: wire.Int64(call.Lease)}
	case store.KindRevoke:
		path, message = wire.PathRevoke, wire.LeaseRequest{ID: wire.Int64(call.Lease)}
	default:
		return Request{}, errors.Errorf("unknown kind of call %q", call.Kind)
	}
	body, err := json.Marshal(message)
	return Request{Method: http.MethodPost, Path: path, Body: body}, errors.Wrap(err, "encode call")
}

// ceilSeconds rounds up to at least 1, because the API has lease lifetimes in whole seconds and 0 is not valid.
func ceilSeconds(d time.Duration) int64 {
	return max(1, int64((d+time.Second-1)/time.Second))
}

func encodeTxn(txn store.Txn) wire.TxnRequest {
	var request wire.TxnRequest
	seen := map[string]bool{}
	for _, compare := range txn.Compares {
		encoded := wire.Compare{Result: wire.ResultEqual, Target: wire.TargetMod, Key: []byte(compare.Key)}
		if compare.UseCreate {
			encoded.Target, encoded.CreateRevision = wire.TargetCreate, wire.Int64(compare.CreateRevision)
		} else {
			encoded.ModRevision = wire.Int64(compare.ModRevision)
		}
		request.Compare = append(request.Compare, encoded)
		if !seen[compare.Key] {
			seen[compare.Key] = true
			request.Failure = append(request.Failure, wire.Operation{Range: &wire.RangeRequest{Key: encoded.Key}})
		}
	}
	for _, put := range txn.Puts {
		request.Success = append(request.Success, wire.Operation{Put: &wire.PutRequest{
			Key: []byte(put.Key), Value: put.Value, Lease: wire.Int64(put.Lease),
		}})
	}
	for _, key := range txn.Deletes {
		request.Success = append(request.Success, wire.Operation{Delete: &wire.DeleteRequest{Key: []byte(key)}})
	}
	return request
}

// Decode returns the result of a call. The outcome of a write whose response body cannot be decoded is unknown. The service names no
// eras.
func (EtcdProtocol) Decode(call store.Call, r Response) store.Result {
	if r.Status != http.StatusOK {
		return decodeError(call, r.Status, r.Body)
	}
	return decodeSuccess(call, r.Body)
}

// decodeSuccess decodes the body of a response with status 200.
func decodeSuccess(call store.Call, body []byte) store.Result {
	switch call.Kind {
	case store.KindGet, store.KindList:
		response, err := wire.Decode[wire.RangeResponse](body)
		if err != nil {
			return ClassifyFailure(call, true, err)
		}
		return store.Result{Outcome: store.Applied, Entries: toEntries(response.KVs), Revision: int64(response.Header.Revision)}
	case store.KindTxn:
		return decodeTxn(call, body)
	case store.KindKeepAlive:
		message, err := wire.Decode[wire.KeepAliveMessage](body)
		switch {
		case err != nil:
			return ClassifyFailure(call, true, err)
		case message.Error != nil:
			return decodeError(call, http.StatusInternalServerError, body)
		case message.Result == nil:
			return ClassifyFailure(call, true, errors.New("keep-alive without result"))
		case message.Result.TTL <= 0:
			return store.Result{Outcome: store.NotFound, Detail: "lease is gone"}
		}
		return leaseResult(*message.Result)
	default:
		response, err := wire.Decode[wire.LeaseResponse](body)
		if err == nil && call.Kind == store.KindGrant && (response.ID == 0 || response.TTL <= 0) {
			err = errors.New("grant without lease")
		}
		if err != nil {
			return ClassifyFailure(call, true, err)
		}
		return leaseResult(response)
	}
}

func leaseResult(response wire.LeaseResponse) store.Result {
	return store.Result{
		Outcome: store.Applied, Revision: int64(response.Header.Revision), Lease: store.LeaseID(response.ID),
		TTL: time.Duration(response.TTL) * time.Second,
	}
}

func decodeTxn(call store.Call, body []byte) store.Result {
	response, err := wire.Decode[wire.TxnResponse](body)
	if err == nil && response.Header.Revision == 0 {
		// A response without "succeeded" means a conflict, so an empty object must not count as a response.
		err = errors.New("transaction response without revision")
	}
	if err != nil {
		return ClassifyFailure(call, true, err)
	}
	result := store.Result{Outcome: store.Applied, Revision: int64(response.Header.Revision)}
	if response.Succeeded {
		return result
	}
	result.Outcome, result.Detail = store.Conflict, "a compare failed"
	for _, opResponse := range response.Responses {
		if opResponse.Range != nil {
			result.Entries = append(result.Entries, toEntries(opResponse.Range.KVs)...)
		}
	}
	return result
}

// decodeError classifies an error response. A write is Unavailable only if the response proves that it had no effect:
// "request timed out" has the same code as "no leader", but its proposal may still be committed.
func decodeError(call store.Call, status int, body []byte) store.Result {
	message, _ := wire.Decode[wire.Error](body)
	text := message.Message
	if text == "" {
		text = message.Text
	}
	detail := fmt.Sprintf("status %d, code %d: %.200q", status, message.Code, text)
	switch {
	case message.Code == wire.CodeNotFound && text == wire.MessageLeaseNotFound:
		return store.Result{Outcome: store.NotFound, Detail: detail}
	case !call.Kind.IsWrite(), status < http.StatusInternalServerError, text == wire.MessageNoLeader:
		return store.Result{Outcome: store.Unavailable, Detail: detail}
	default:
		return store.Result{Outcome: store.Unknown, Detail: detail}
	}
}

func toEntries(kvs []wire.KeyValue) []store.Entry {
	if len(kvs) == 0 {
		return nil
	}
	converted := make([]store.Entry, len(kvs))
	for i, kv := range kvs {
		converted[i] = toEntry(kv)
	}
	return converted
}

func toEntry(kv wire.KeyValue) store.Entry {
	return store.Entry{
		Key: string(kv.Key), Value: kv.Value, CreateRevision: int64(kv.CreateRevision),
		ModRevision: int64(kv.ModRevision), Lease: store.LeaseID(kv.Lease),
	}
}
