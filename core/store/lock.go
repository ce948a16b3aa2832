package store

import (
	"errors"
	"io"
	"os"
	"syscall"

	"vanillabridge/core/fault"
)

const lockName = "lock"

// Lock locks the directory against other processes until the returned Closer is closed.
func (d Dir) Lock() (io.Closer, error) {
	f, err := os.OpenFile(d.path(lockName), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		err = fault.Wrap(fault.ErrConflict, "lock data directory %q: another process uses it: %v", d, err)
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}
