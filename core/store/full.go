package store

import (
	"errors"
	"syscall"

	"vanillabridge/core/fault"
)

// ErrFull means that the disk has no space left. Nothing was acknowledged or replaced, and the same
// call may succeed once space has been freed.
var ErrFull = errors.New("disk is full")

// asFull returns an error that wraps ErrFull if err says that the disk has no space, or else err.
func asFull(err error, operation string) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fault.Wrap(ErrFull, "%s: %v", operation, err)
	}
	return err
}

// discardPartialFrame cuts off what a failed write has left in the log file.
func (d *Disk) discardPartialFrame() error {
	s := d.segments[len(d.segments)-1]
	if err := d.segmentFile.Close(); err != nil {
		return err
	}
	f, err := d.fs.Append(s.name, s.size)
	if err != nil {
		return err
	}
	d.segmentFile = f
	return nil
}
