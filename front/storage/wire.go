package storage

// Paths of the service. A row is named by the query parameter "key", a range
// by the query parameter "prefix", an object by the last part of its path.
const (
	PathRow          = "/v1/row"
	PathRows         = "/v1/rows"
	PathTransactions = "/v1/transactions"
	PathObjects      = "/v1/objects/"
	PathInstances    = "/v1/instances"
)

// Query parameters of the service.
const (
	QueryKey    = "key"
	QueryPrefix = "prefix"
)

// TransactionRequest asks for all writes or none.
type TransactionRequest struct {
	Writes []Write `json:"writes"`
}

// TransactionResponse gives the new versions in the order of the writes.
type TransactionResponse struct {
	Versions []uint64 `json:"versions"`
}

// ScanResponse gives the rows of a range in key order.
type ScanResponse struct {
	Rows []Row `json:"rows"`
}

// InstancesResponse gives the list of instances.
type InstancesResponse struct {
	Instances []ListedInstance `json:"instances"`
}

// ErrorResponse is the body of every answer whose status is 400 or more.
type ErrorResponse struct {
	// Reason is a short English sentence.
	Reason string `json:"reason"`
	// NoEffect says that the call certainly changed nothing. The service sets
	// it on a 5xx answer; a 4xx answer implies it.
	NoEffect bool `json:"noEffect,omitempty"`
	// Conflict tells which row differed, on status 409 and 412.
	Conflict *ConflictDetail `json:"conflict,omitempty"`
}

// ConflictDetail tells which row differed from what a transaction expected.
type ConflictDetail struct {
	Key      string `json:"key"`
	Expected uint64 `json:"expected"`
	Actual   Row    `json:"actual"`
}
