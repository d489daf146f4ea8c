// Package document defines the document that operators write for one
// environment: teams, keys, regions, services, routes, shifts and drains.
//
// Decode reads a document strictly and reports the first fault with its file,
// line and column. Compile turns a decoded document into the immutable
// look-ups that the request path needs. Documents hold digests of keys only.
package document
