package entry

import (
	"net/http"
	"strings"

	"vanillabridge/core/proto"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ownHeaders are set by the entry instance only.
var ownHeaders = []string{
	proto.HeaderOutcome, proto.HeaderRequest, proto.HeaderAttempt, proto.HeaderDeadline, proto.HeaderZone,
}

// forward returns the end-to-end fields of a header.
func forward(h http.Header) http.Header {
	named := h["Connection"]
	out := make(http.Header, len(h)+len(ownHeaders))
	for k, v := range h {
		out[k] = v
	}
	for _, line := range named {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	for _, name := range ownHeaders {
		delete(out, name)
	}
	return out
}
