// Package document defines the document that operators write for one
// environment: teams, keys, regions, services, routes, shifts and drains.
//
// Decode reads a document strictly and reports the first fault with its file,
// line and column. Compile builds the immutable index that the request path
// uses. Documents contain only digests of keys, never the keys.
package document
