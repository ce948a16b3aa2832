package trace

import (
	"bytes"
	"errors"
	"io"
	"os"

	"vanillabridge/core/fault"
)

// DefaultLimit is the size at which a File begins anew.
const DefaultLimit = 64 << 20

// previous is appended to the path of the full file.
const previous = ".1"

// File is a sink of bounded size for a Recorder: when the file is full, it takes the place of
// the one before, and a new one begins. Without a bound, events could fill the disk that holds
// the replicated logs.
type File struct {
	path  string
	limit int64
	file  *os.File
	size  int64
	last  Stamp
}

// OpenFile opens or creates the file; limit is in bytes, DefaultLimit if zero.
func OpenFile(path string, limit int64) (*File, error) {
	if limit <= 0 {
		limit = DefaultLimit
	}
	f := &File{path: path, limit: limit}
	if err := f.open(); err != nil {
		return nil, err
	}
	last, err := f.readLast()
	if err != nil {
		return nil, errors.Join(fault.Wrap(err, "read the end of the event file"), f.file.Close())
	}
	f.last = last
	return f, nil
}

// Last returns the stamp of the last event of an earlier life of the process, or zero. Merged
// into the clock of a new Recorder, it keeps the new events after the old ones even if the
// wall clock was set back in between.
func (f *File) Last() Stamp { return f.last }

// Write appends lines and begins a new file if they do not fit.
func (f *File) Write(lines []byte) (int, error) {
	if f.size > 0 && f.size+int64(len(lines)) > f.limit {
		if err := f.rotate(); err != nil {
			return 0, err
		}
	}
	n, err := f.file.Write(lines)
	f.size += int64(n)
	return n, err
}

// Close closes the file.
func (f *File) Close() error { return f.file.Close() }

func (f *File) open() error {
	file, err := os.OpenFile(f.path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o640)
	if err != nil {
		return fault.Wrap(err, "open the event file")
	}
	info, err := file.Stat()
	if err != nil {
		return errors.Join(fault.Wrap(err, "open the event file"), file.Close())
	}
	f.file, f.size = file, info.Size()
	return nil
}

func (f *File) rotate() error {
	if err := os.Rename(f.path, f.path+previous); err != nil {
		return fault.Wrap(err, "put the full event file aside")
	}
	full := f.file
	if err := f.open(); err != nil {
		return err
	}
	return full.Close()
}

// readLast finds the last event, and ends a torn last line so that the next event is whole.
func (f *File) readLast() (Stamp, error) {
	if f.size == 0 {
		return Stamp{}, nil
	}
	start := max(0, f.size-4*maxLine)
	tail, err := io.ReadAll(io.NewSectionReader(f.file, start, f.size-start))
	if err != nil {
		return Stamp{}, err
	}
	if !bytes.HasSuffix(tail, []byte("\n")) {
		if _, err := f.Write([]byte("\n")); err != nil {
			return Stamp{}, err
		}
	}
	entries, _, err := ReadLines(bytes.NewReader(tail))
	if err != nil || len(entries) == 0 {
		return Stamp{}, err
	}
	return entries[len(entries)-1].Stamp, nil
}
