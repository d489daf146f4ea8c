package storage

// Paths of the service. The query parameter "key" selects a row, the query
// parameter "prefix" a range of rows, and the last path segment an object.
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

// TransactionRequest is the body of a POST to PathTransactions. Either all
// writes are applied or none.
type TransactionRequest struct {
	Writes []Write `json:"writes"`
}

// TransactionResponse returns the new row versions in the order of the writes.
type TransactionResponse struct {
	Versions []uint64 `json:"versions"`
}

// ScanResponse returns the rows of a range in key order.
type ScanResponse struct {
	Rows []Row `json:"rows"`
}

// InstancesResponse returns the list of instances.
type InstancesResponse struct {
	Instances []ListedInstance `json:"instances"`
}

// ErrorResponse is the body of every response whose status is 400 or more.
type ErrorResponse struct {
	// Reason is a short explanation in English.
	Reason string `json:"reason"`
	// NoEffect is set if the call did not change anything. The service sets it
	// on a 5xx response; a 4xx response implies it.
	NoEffect bool `json:"noEffect,omitempty"`
	// Conflict describes the conflicting row, on status 409 and 412.
	Conflict *ConflictDetail `json:"conflict,omitempty"`
}

// ConflictDetail describes a row that did not have the version that a
// transaction expected.
type ConflictDetail struct {
	Key      string `json:"key"`
	Expected uint64 `json:"expected"`
	Actual   Row    `json:"actual"`
}
