package upstream

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// isHopByHop reports whether a header applies to a single connection only (RFC 9110, section 7.6.1).
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// ForwardHeader copies the end-to-end headers from one header map to another, except those for which skip
// returns true. A nil skip skips none.
func ForwardHeader(to, from http.Header, skip func(name string) bool) {
	named := connectionOptions(from)
	for name, values := range from {
		if isHopByHop(name) || slices.Contains(named, name) || skip != nil && skip(name) {
			continue
		}
		to[name] = slices.Clone(values)
	}
}

// connectionOptions returns the names listed in the Connection header, which are hop-by-hop headers too.
func connectionOptions(header http.Header) []string {
	var named []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return named
}
