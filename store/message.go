package store

// The messages of etcd's JSON gateway, version 3, as far as they are used; 64-bit numbers travel as strings and bytes as base64.

// RangeRequest reads one key, or only its revisions.
type RangeRequest struct {
	Key      []byte `json:"key"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// KeyValue is one key with its revisions.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// ResponseHeader carries the service's revision.
type ResponseHeader struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header ResponseHeader `json:"header"`
	Kvs    []KeyValue     `json:"kvs,omitempty"`
}

// Compare is the condition of a transaction on a key's last change.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	RequestPut   *PutRequest   `json:"request_put,omitempty"`
	RequestRange *RangeRequest `json:"request_range,omitempty"`
}

// TxnRequest writes if the comparison holds, and reads otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
	Failure []RequestOp `json:"failure"`
}

// ResponseOp is the result of one operation of a transaction.
type ResponseOp struct {
	ResponseRange *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    ResponseHeader `json:"header"`
	Succeeded bool           `json:"succeeded,omitempty"`
	Responses []ResponseOp   `json:"responses,omitempty"`
}

// LeaseRequest grants, keeps or revokes a lease; TTL is in seconds.
type LeaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseResponse answers a LeaseRequest.
type LeaseResponse struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// KeepResponse answers a renewal; a TTL of zero means that the lease has ended.
type KeepResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchCreate asks for the changes of a key from a revision on.
type WatchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	CreateRequest WatchCreate `json:"create_request"`
}

// Event is one change; a removal has the type DELETE.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResult is a batch of events.
type WatchResult struct {
	Header ResponseHeader `json:"header"`
	Events []Event        `json:"events,omitempty"`
}

// WatchResponse is one line of a watch's stream.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}
