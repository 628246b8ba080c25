package upstream

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHop reports whether a header belongs to one connection only (RFC 9110, section 7.6.1).
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// ForwardHeader copies the end-to-end headers of from into to, leaving out those that skip accepts.
func ForwardHeader(to, from http.Header, skip func(name string) bool) {
	named := connectionOptions(from)
	for name, values := range from {
		if hopByHop(name) || slices.Contains(named, name) || skip != nil && skip(name) {
			continue
		}
		to[name] = slices.Clone(values)
	}
}

// connectionOptions lists the headers that the Connection header declares to belong to the connection.
func connectionOptions(header http.Header) []string {
	var named []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return named
}
