// Package usage counts the requests of teams by windows of time, merges the counts
// of instances, and plans the reports of the windows.
//
// The package does no I/O, starts no goroutine, and takes the time as an argument.
// The types are not safe for concurrent use.
package usage

import "time"

// Window returns the window of a moment in true time: window k begins k x length
// after the start of 1970.
func Window(t time.Time, length time.Duration) int64 {
	ms := t.UnixMilli()
	k := ms / length.Milliseconds()
	if ms%length.Milliseconds() < 0 {
		k--
	}
	return k
}

// End returns the end of a window.
func End(window int64, length time.Duration) time.Time {
	return time.UnixMilli((window + 1) * length.Milliseconds())
}
