// Package fleet shows operators what instances share in the platform's store:
// the catalog in force, endpoints, moves, closed failure domains and instances.
// It reads and never writes.
package fleet
