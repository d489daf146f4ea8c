package document

import "strings"

// cleanPath says whether a path starts with a slash and has no empty, "." or
// ".." segment. Two ends may read other paths differently, so that a request
// could reach what its route does not cover; none is routed. A percent sign is
// refused for the same reason: the path was decoded once, so one that is left
// could be decoded again further on.
func cleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\%\x00") {
		return false
	}
	rest := path[1:]
	for rest != "" {
		segment, after, found := strings.Cut(rest, "/")
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
		if !found {
			return true
		}
		rest = after
	}
	return true
}

// shorterPrefix returns the next shorterPrefix prefix that a route may have: "/a/b" gives
// "/a/", which gives "/a", which gives "/". It returns "" after "/".
func shorterPrefix(path string) string {
	if path == "/" {
		return ""
	}
	if trimmed, found := strings.CutSuffix(path, "/"); found {
		return trimmed
	}
	return path[:strings.LastIndexByte(path, '/')+1]
}
