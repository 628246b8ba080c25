package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that belong to one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ForwardHeader copies the end-to-end headers of from into to, leaving out those that skip accepts.
func ForwardHeader(to, from http.Header, skip func(name string) bool) {
	dropped := map[string]bool{}
	for _, name := range hopByHop {
		dropped[name] = true
	}
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if dropped[name] || skip != nil && skip(name) {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
}
