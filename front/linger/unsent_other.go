//go:build !linux

package linger

// unsentBytes returns unknownUnsent: the system can't tell.
func (c *conn) unsentBytes() int { return unknownUnsent }
