// Package e2e tests the whole path with separate processes on loopback
// addresses. It holds tests only.
package e2e
