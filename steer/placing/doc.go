// Package placing chooses the endpoint for each request.
//
// It is made for services in which a request's duration depends on the object
// that the request is about: an endpoint that has recently handled an object
// works several times faster on it. Each object has a home endpoint in each
// region, found by rendezvous hashing, so that instances agree without
// exchanging messages. A request goes to another endpoint than the home if its
// completion is expected earlier there, which bounds the load of each home and
// spreads hot objects over several endpoints.
//
// The package does no I/O, starts no goroutines and takes the time as an
// argument. A Placer is safe for concurrent use; each service is a shard with
// its own lock.
package placing
