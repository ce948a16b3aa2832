package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"vanillabridge/core/fault"
)

// maxFrame bounds one message, so that a faulty peer cannot exhaust the memory.
const maxFrame = 16 << 20

// frameReserve is the part of a frame that is left for the envelope of a message.
const frameReserve = 1 << 10

// codec frames messages with a length of four bytes. The codecs of the library accept a frame
// of any length.
//
// Raw messages travel between the JSON ones: the messages of the replicated log are most of the
// traffic, and encoding them as text inside JSON took several passes over each byte. A raw frame
// begins with rawMark, the length of the method's name and the name.
type codec struct {
	// raw takes raw messages; without it they are refused.
	raw func(method string, payload []byte)
}

// rawMark begins a raw frame; a JSON frame begins with another byte.
const rawMark = 1

// rawMessage is a message that is not encoded as JSON.
type rawMessage struct {
	method  string
	payload []byte
}

func (m rawMessage) encode() []byte {
	data := make([]byte, 0, 2+len(m.method)+len(m.payload))
	data = append(data, rawMark, byte(len(m.method)))
	data = append(data, m.method...)
	return append(data, m.payload...)
}

func decodeRaw(data []byte) (rawMessage, error) {
	if len(data) < 2 || len(data) < 2+int(data[1]) {
		return rawMessage{}, fault.Wrap(fault.ErrCorrupt, "raw message of %d bytes", len(data))
	}
	n := 2 + int(data[1])
	return rawMessage{method: string(data[2:n]), payload: data[n:]}, nil
}

// WriteObject writes one frame with a single write, so that it leaves in one segment.
func (codec) WriteObject(w io.Writer, obj any) error {
	var data []byte
	var err error
	if raw, ok := obj.(rawMessage); ok {
		data = raw.encode()
	} else if data, err = json.Marshal(obj); err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(data) > maxFrame {
		return fault.Wrap(fault.ErrTooLarge, "message of %d bytes exceeds %d", len(data), maxFrame)
	}
	frame := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// ReadObject reads frames up to the next one in JSON, and hands the raw ones over.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	for {
		data, err := readFrame(r)
		if err != nil {
			return err
		}
		if len(data) == 0 || data[0] != rawMark {
			if err := json.Unmarshal(data, v); err != nil {
				return fault.Wrap(fault.ErrCorrupt, "decode message: %v", err)
			}
			return nil
		}
		m, err := decodeRaw(data)
		if err != nil {
			return err
		}
		if c.raw == nil {
			return fault.Wrap(fault.ErrInvalid, "raw message %q is not expected", m.method)
		}
		c.raw(m.method, m.payload)
	}
}

func readFrame(r *bufio.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return nil, fault.Wrap(fault.ErrTooLarge, "message of %d bytes exceeds %d", n, maxFrame)
	}
	data := make([]byte, n)
	_, err := io.ReadFull(r, data)
	return data, err
}

// timedConn fails reads and writes that make no progress, so that a connection over a silent
// cut is given up long before TCP does.
type timedConn struct {
	net.Conn
	read, write time.Duration
	count       func(sent, received int)
}

// Read reads with a fresh deadline.
func (c timedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.read)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.count(0, n)
	return n, err
}

// Write writes with a fresh deadline.
func (c timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.count(n, 0)
	return n, err
}

var _ jsonrpc2.ObjectCodec = codec{}
