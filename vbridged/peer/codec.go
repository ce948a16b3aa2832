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
type codec struct {
	// raw takes raw frames; without it they are refused.
	raw func(rawFrame) error
}

// WriteObject writes one frame with a single write, so that it leaves in one segment.
func (codec) WriteObject(w io.Writer, obj any) error {
	var data []byte
	var err error
	if raw, ok := obj.(rawFrame); ok {
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
		if !isRaw(data) {
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
		if err := c.raw(m); err != nil {
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
