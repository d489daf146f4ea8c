package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// headEnd returns the length of the head at the beginning of b, -1 if it is not
// complete: a head ends with its first empty line. The search begins at from,
// which a previous call has returned as resume.
func headEnd(b []byte, from int) (end, resume int) {
	for {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return -1, len(b)
		}
		line := from + i + 1
		switch {
		case bytes.HasPrefix(b[line:], []byte("\n")):
			return line + 1, 0
		case bytes.HasPrefix(b[line:], []byte("\r\n")):
			return line + 2, 0
		case len(b) == line, len(b) == line+1 && b[line] == '\r':
			// Whether the next line is empty is not known yet.
			return -1, line - 1
		}
		from = line
	}
}

// leadingLineBreaks returns the number of line breaks before a head. net/http
// accepts them behind a POST request.
func leadingLineBreaks(b []byte) int {
	return len(b) - len(bytes.TrimLeft(b, "\r\n"))
}

// parse returns the request with the given head, nil if net/http may treat it in
// another way than http.ReadRequest.
func parse(head []byte) *http.Request {
	source := bytes.NewReader(head)
	buffered := bufio.NewReaderSize(source, min(len(head), 4096))
	r, err := http.ReadRequest(buffered)
	if err != nil || source.Len() > 0 || buffered.Buffered() > 0 {
		return nil
	}
	if r.URL.Host != "" || !validHost(r.Host) || !validHeader(r.Header) {
		return nil
	}
	return r
}

// suitable reports whether a request has a form that may be read ahead, and behind
// which others may be.
func suitable(r *http.Request) bool {
	return r.ProtoMajor == 1 && r.ProtoMinor == 1 && r.Method != http.MethodConnect && strings.HasPrefix(r.RequestURI, "/") &&
		r.ContentLength == 0 && len(r.TransferEncoding) == 0 &&
		r.Header["Expect"] == nil && r.Header["Upgrade"] == nil
}

// validHost reports whether net/http's server accepts a Host header. Its own check
// allows more characters; a host that has them is not read ahead.
func validHost(host string) bool {
	for _, c := range []byte(host) {
		if !isAlphanumeric(c) && !strings.ContainsRune(".-_:[]", rune(c)) {
			return false
		}
	}
	return host != ""
}

// validHeader reports whether net/http's server accepts a header, which it checks
// after http.ReadRequest.
func validHeader(h http.Header) bool {
	for name, values := range h {
		for _, c := range []byte(name) {
			if !isAlphanumeric(c) && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
				return false
			}
		}
		for _, value := range values {
			for _, c := range []byte(value) {
				if c < ' ' && c != '\t' || c == 0x7f {
					return false
				}
			}
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
