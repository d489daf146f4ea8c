// Package e2e holds end-to-end tests. They run the built commands as separate
// processes on loopback addresses: stand-ins for the platform and the
// endpoints, and entry instances between them. The package contains only tests.
package e2e
