// Package placing chooses the endpoint for each request.
//
// It answers a load in which the objects that requests are about decide how
// long they take: an endpoint that has handled an object of late works several
// times faster on it. Each object has a home among the endpoints of a region
// (rendezvous hashing), so that instances agree without a message; a request
// leaves the home when the expected completion elsewhere is earlier, which
// bounds the load of each home and gives hot objects several.
//
// The package decides only. It does no I/O, starts no goroutine, and takes the
// time as an argument. A Placer is safe for concurrent use; each service is a
// shard with a lock of its own.
package placing
