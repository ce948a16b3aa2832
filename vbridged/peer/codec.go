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

// maxFrameBytes bounds one message, so that a faulty peer cannot exhaust the memory.
const maxFrameBytes = 16 << 20

// envelopeReserveBytes is the part of a frame reserved for the JSON-RPC envelope around a body.
const envelopeReserveBytes = 1 << 10

// codec prefixes each message with its length as four bytes, big-endian. The codecs of the jsonrpc2
// library are not used because they accept frames of any length.
type codec struct {
	// handleRaw receives frames that are not JSON; if nil, such frames are rejected.
	handleRaw func(rawFrame) error
}

// WriteObject writes one frame with a single Write call, so that the length prefix and the body are
// not sent in separate TCP segments.
func (codec) WriteObject(w io.Writer, obj any) error {
	var data []byte
	var err error
	if raw, ok := obj.(rawFrame); ok {
		data = raw.encode()
	} else if data, err = json.Marshal(obj); err != nil {
		return fmt.Errorf("encode JSON message: %w", err)
	}
	if len(data) > maxFrameBytes {
		return fault.Wrap(fault.ErrTooLarge, "message of %d bytes exceeds %d", len(data), maxFrameBytes)
	}
	frame := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// ReadObject reads frames until the next JSON one and passes raw frames to handleRaw.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	for {
		data, err := readFrame(r)
		if err != nil {
			return err
		}
		if !isRawFrame(data) {
			if err := json.Unmarshal(data, v); err != nil {
				return fault.Wrap(fault.ErrCorrupt, "decode JSON message: %v", err)
			}
			return nil
		}
		m, err := decodeRawFrame(data)
		if err != nil {
			return err
		}
		if c.handleRaw == nil {
			return fault.Wrap(fault.ErrInvalid, "unexpected raw message of method %q", m.method)
		}
		if err := c.handleRaw(m); err != nil {
			return err
		}
	}
}

func readFrame(r *bufio.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return nil, fault.Wrap(fault.ErrTooLarge, "message of %d bytes exceeds %d", n, maxFrameBytes)
	}
	data := make([]byte, n)
	_, err := io.ReadFull(r, data)
	return data, err
}

// timeoutConn fails reads and writes that make no progress within their timeout, so that a network
// partition is detected long before TCP reports it.
type timeoutConn struct {
	net.Conn
	readTimeout, writeTimeout time.Duration
	countBytes                func(sent, received int)
}

// Read sets the read deadline anew before each call.
func (c timeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.countBytes(0, n)
	return n, err
}

// Write sets the write deadline anew before each call.
func (c timeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.countBytes(n, 0)
	return n, err
}

var _ jsonrpc2.ObjectCodec = codec{}
