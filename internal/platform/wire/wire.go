// Package wire defines the messages of the etcd v3 JSON-over-HTTP API that sniperail uses. Field names and encodings
// follow the published gRPC gateway: bytes in base64, 64-bit integers as decimal strings, zero values omitted.
package wire

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// Paths of the API. The method is always POST.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// gRPC status codes, which the gateway puts into the field "code" of an error.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Error messages that a client needs in addition to the status code.
const (
	MessageNoLeader      = "etcdserver: no leader"
	MessageLeaseNotFound = "etcdserver: requested lease not found"
	MessageTooMany       = "etcdserver: too many requests"
	MessageCompacted     = "etcdserver: mvcc: required revision has been compacted"
)

// Targets and result of a comparison, and the type of a deletion event. The event of a put has no type in JSON.
const (
	TargetCreate = "CREATE"
	TargetMod    = "MOD"
	ResultEqual  = "EQUAL"
	EventDelete  = "DELETE"
)

// Int64 is written as a decimal string and read from a string or a number, as the gateway does.
type Int64 int64

// MarshalJSON writes a decimal string.
func (i Int64) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON reads a decimal string or a whole number.
func (i *Int64) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	n, err := strconv.ParseInt(string(bytes.Trim(data, `"`)), 10, 64)
	if err != nil {
		return errors.Wrap(err, "64-bit integer")
	}
	*i = Int64(n)
	return nil
}

type (
	// Header is part of each response.
	Header struct {
		Revision Int64 `json:"revision,omitempty"`
	}
	// KeyValue is one entry.
	KeyValue struct {
		Key            []byte `json:"key"`
		CreateRevision Int64  `json:"create_revision,omitempty"`
		ModRevision    Int64  `json:"mod_revision,omitempty"`
		Version        Int64  `json:"version,omitempty"`
		Value          []byte `json:"value,omitempty"`
		Lease          Int64  `json:"lease,omitempty"`
	}
	// RangeRequest reads a key, or the keys from Key up to RangeEnd.
	RangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
		Limit    Int64  `json:"limit,omitempty"`
	}
	// RangeResponse is the response to a RangeRequest.
	RangeResponse struct {
		Header Header     `json:"header"`
		KVs    []KeyValue `json:"kvs,omitempty"`
		More   bool       `json:"more,omitempty"`
		Count  Int64      `json:"count,omitempty"`
	}
	// Compare is one condition of a transaction.
	Compare struct {
		Result         string `json:"result,omitempty"`
		Target         string `json:"target,omitempty"`
		Key            []byte `json:"key"`
		CreateRevision Int64  `json:"create_revision,omitempty"`
		ModRevision    Int64  `json:"mod_revision,omitempty"`
	}
	// PutRequest writes a key.
	PutRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value,omitempty"`
		Lease Int64  `json:"lease,omitempty"`
	}
	// DeleteRequest deletes a key.
	DeleteRequest struct {
		Key []byte `json:"key"`
	}
	// Operation is one operation of a transaction; exactly one field is set.
	Operation struct {
		Range  *RangeRequest  `json:"request_range,omitempty"`
		Put    *PutRequest    `json:"request_put,omitempty"`
		Delete *DeleteRequest `json:"request_delete_range,omitempty"`
	}
	// TxnRequest performs the operations of Success if all comparisons hold, those of Failure otherwise.
	TxnRequest struct {
		Compare []Compare   `json:"compare,omitempty"`
		Success []Operation `json:"success,omitempty"`
		Failure []Operation `json:"failure,omitempty"`
	}
	// OperationResponse is the result of one operation. sniperail reads nothing from the results of puts and deletions.
	OperationResponse struct {
		Range *RangeResponse `json:"response_range,omitempty"`
	}
	// TxnResponse is the response to a TxnRequest.
	TxnResponse struct {
		Header    Header              `json:"header"`
		Succeeded bool                `json:"succeeded,omitempty"`
		Responses []OperationResponse `json:"responses,omitempty"`
	}
	// GrantRequest requests a lease. TTL is in seconds.
	GrantRequest struct {
		TTL Int64 `json:"TTL"`
		ID  Int64 `json:"ID,omitempty"`
	}
	// LeaseRequest names a lease, to keep it alive or to revoke it.
	LeaseRequest struct {
		ID Int64 `json:"ID"`
	}
	// LeaseResponse is the response to a grant, a revocation or a keep-alive. The TTL of a lease that has ended is 0.
	LeaseResponse struct {
		Header Header `json:"header"`
		ID     Int64  `json:"ID,omitempty"`
		TTL    Int64  `json:"TTL,omitempty"`
	}
	// KeepAliveMessage is one element of the keep-alive stream.
	KeepAliveMessage struct {
		Result *LeaseResponse `json:"result,omitempty"`
		Error  *Error         `json:"error,omitempty"`
	}
	// WatchCreate starts a watch at a revision.
	WatchCreate struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end,omitempty"`
		StartRevision Int64  `json:"start_revision,omitempty"`
	}
	// WatchRequest is the body of a watch request.
	WatchRequest struct {
		Create *WatchCreate `json:"create_request,omitempty"`
	}
	// Event is one change of a key.
	Event struct {
		Type string   `json:"type,omitempty"`
		KV   KeyValue `json:"kv"`
	}
	// WatchResponse is a batch of events, or the start or end of a watch.
	WatchResponse struct {
		Header          Header  `json:"header"`
		Created         bool    `json:"created,omitempty"`
		Canceled        bool    `json:"canceled,omitempty"`
		CompactRevision Int64   `json:"compact_revision,omitempty"`
		Events          []Event `json:"events,omitempty"`
	}
	// WatchMessage is one element of the watch stream.
	WatchMessage struct {
		Result *WatchResponse `json:"result,omitempty"`
		Error  *Error         `json:"error,omitempty"`
	}
	// Error is the body of a response whose status is not 200.
	Error struct {
		Text    string `json:"error,omitempty"`
		Code    int    `json:"code,omitempty"`
		Message string `json:"message,omitempty"`
	}
)

// PrefixEnd returns the end of the range of all keys with a prefix: the prefix up to its last byte below 0xff, with that
// byte incremented. Without such a byte the range has no end, which the API encodes as a single zero byte.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// Decode decodes one message of type T from the whole input.
func Decode[T any](data []byte) (T, error) {
	var message T
	if err := json.Unmarshal(data, &message); err != nil {
		var zero T
		return zero, errors.Wrap(err, "decode message of the platform")
	}
	return message, nil
}
