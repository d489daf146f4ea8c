// Package split decides which fraction of the requests that enter in one region runs
// in each region.
//
// A Split holds the fractions for one service. It starts from the slots of the
// regions and their parts of the demand, which are known before any traffic, and
// follows what requests take in each region beside their work: the round trip, and the
// wait that follows from the load that they meet. Its fractions change by a bounded
// amount per second, in both directions and whatever the demand does, so that the
// instances of a region never move its requests all at once on the same news. Only a
// loss of slots and a restart of the instance lift the bound.
//
// A Balance turns the fractions into decisions on single requests. It owes each region
// its fraction of the requests that were sent, so that the number of requests in a
// region differs from its fraction by about one request per instance, and not by
// chance. What a region could not take is not made up for.
//
// The package does no I/O, starts no goroutine and takes the time as an argument. A
// Split is not safe for concurrent use, a Balance is.
package split
