package server

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// sumPrefix starts the last line of an answer.
const checksumPrefix = "sum "

// Answer returns the answer to a request: the caller's token, the checksum of the request
// body, filling that depends on the token, and a checksum of all that. It is at least size
// bytes long.
func NewAnswer(token string, body []byte, size int) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "token %s\nbody %s\n", token, checksum(body))
	// The filling depends on the token so that parts of two answers cannot be mixed unnoticed.
	filler := checksum([]byte(token)) + "\n"
	for out.Len() < size {
		out.WriteString(filler)
	}
	fmt.Fprintf(&out, "%s%s\n", checksumPrefix, checksum(out.Bytes()))
	return out.Bytes()
}

// Verify reports whether answer is whole and belongs to the request.
func VerifyAnswer(answer []byte, token string, body []byte) error {
	text := string(answer)
	at := strings.LastIndex(text, checksumPrefix)
	if at < 0 || !strings.HasSuffix(text, "\n") {
		return fmt.Errorf("no checksum line in %d bytes", len(answer))
	}
	if got, want := strings.TrimSpace(text[at+len(checksumPrefix):]), checksum(answer[:at]); got != want {
		return fmt.Errorf("checksum %.8s, content has %.8s", got, want)
	}
	if head := fmt.Sprintf("token %s\nbody %s\n", token, checksum(body)); !strings.HasPrefix(text, head) {
		return fmt.Errorf("answer to another request: %.80q", text)
	}
	return nil
}

func checksum(data []byte) string {
	h := sha256.Sum256(data)
	return hex.EncodeToString(h[:16])
}
