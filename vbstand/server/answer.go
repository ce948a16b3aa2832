package server

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// checksumPrefix is the prefix of the last line of an answer, which holds its checksum.
const checksumPrefix = "sum "

// NewAnswer returns the answer to a request: the caller's token, the checksum of the request body,
// padding that depends on the token, and a checksum of all of these. It is at least size bytes long.
func NewAnswer(token string, body []byte, size int) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "token %s\nbody %s\n", token, checksum(body))
	// Padding that depends on the token lets VerifyAnswer detect an answer mixed from two answers.
	filler := checksum([]byte(token)) + "\n"
	for out.Len() < size {
		out.WriteString(filler)
	}
	fmt.Fprintf(&out, "%s%s\n", checksumPrefix, checksum(out.Bytes()))
	return out.Bytes()
}

// VerifyAnswer returns an error unless answer is complete and belongs to the request with this token
// and body.
func VerifyAnswer(answer []byte, token string, body []byte) error {
	text := string(answer)
	checksumLine := strings.LastIndex(text, checksumPrefix)
	if checksumLine < 0 || !strings.HasSuffix(text, "\n") {
		return fmt.Errorf("verify answer: no checksum line at the end of %d bytes", len(answer))
	}
	if got, want := strings.TrimSpace(text[checksumLine+len(checksumPrefix):]), checksum(answer[:checksumLine]); got != want {
		return fmt.Errorf("verify answer: checksum line says %.8s, content has %.8s", got, want)
	}
	if head := fmt.Sprintf("token %s\nbody %s\n", token, checksum(body)); !strings.HasPrefix(text, head) {
		return fmt.Errorf("verify answer: token or body checksum is of another request: %.80q", text)
	}
	return nil
}

// checksum returns the first 16 bytes of the SHA-256 hash of data in hexadecimal.
func checksum(data []byte) string {
	h := sha256.Sum256(data)
	return hex.EncodeToString(h[:16])
}
