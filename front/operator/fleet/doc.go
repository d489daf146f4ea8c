// Package fleet shows operators the state that instances share in the
// platform's store: the catalog in force, endpoints, rollouts, drained failure
// domains and instances. It only reads from the store.
package fleet
