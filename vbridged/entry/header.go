package entry

import (
	"net/http"
	"strconv"
	"strings"

	"vanillabridge/core/member"
	"vanillabridge/core/proto"
)

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// entryHeaders are set by the entry instance; values that callers or backend servers send are
// dropped.
var entryHeaders = []string{
	proto.HeaderOutcome, proto.HeaderRequest, proto.HeaderAttempt, proto.HeaderDeadline, proto.HeaderZone,
	proto.HeaderIncarnation,
}

func formatIncarnation(k member.Key) string { return strconv.FormatUint(uint64(k.Incarnation), 10) }

// isRejectedByOther reports whether a response says that another process than the server that was meant got the request,
// and has not run it.
func isRejectedByOther(resp *http.Response, k member.Key) bool {
	other := resp.Header.Get(proto.HeaderIncarnation)
	return resp.StatusCode == http.StatusMisdirectedRequest && other != "" && other != formatIncarnation(k)
}

// copyEndToEndHeader returns a copy of a header without hopByHopHeaders, entryHeaders and the
// fields that its Connection field lists.
func copyEndToEndHeader(h http.Header) http.Header {
	connectionHeaders := h["Connection"]
	out := make(http.Header, len(h)+len(entryHeaders))
	for k, v := range h {
		out[k] = v
	}
	for _, line := range connectionHeaders {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	for _, name := range entryHeaders {
		delete(out, name)
	}
	return out
}
