package document

import "strings"

// cleanPath reports whether a path starts with a slash and has no empty, "."
// or ".." segment. Proxies and endpoints may interpret other paths
// differently, and a request could then reach a path that its route does not
// cover, so such paths are not routed. A percent sign is refused for the same
// reason: the path was decoded once, and a remaining percent sign could be
// decoded again downstream.
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

// shorterPrefix returns the next shorter prefix that a route may have: "/a/b"
// gives "/a/", which gives "/a", which gives "/". It returns "" after "/".
func shorterPrefix(path string) string {
	if path == "/" {
		return ""
	}
	if trimmed, found := strings.CutSuffix(path, "/"); found {
		return trimmed
	}
	return path[:strings.LastIndexByte(path, '/')+1]
}
