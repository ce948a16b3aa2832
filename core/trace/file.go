package trace

import (
	"bytes"
	"errors"
	"io"
	"os"

	"vanillabridge/core/fault"
)

// DefaultMaxFileBytes is the default size limit at which a File is rotated.
const DefaultMaxFileBytes = 64 << 20

// rotatedSuffix is appended to the path of the file when it is rotated.
const rotatedSuffix = ".1"

// File is a sink of bounded size for a Recorder. When the file is full, it is rotated: it
// replaces the previously rotated file, and a new file is created. Without a bound, events could
// fill the disk that also stores the replicated logs.
type File struct {
	path      string
	maxBytes  int64
	file      *os.File
	size      int64
	lastStamp Stamp
}

// OpenFile opens or creates the file. A maxBytes of zero means DefaultMaxFileBytes.
func OpenFile(path string, maxBytes int64) (*File, error) {
	if maxBytes <= 0 {
		maxBytes = DefaultMaxFileBytes
	}
	f := &File{path: path, maxBytes: maxBytes}
	if err := f.open(); err != nil {
		return nil, err
	}
	last, err := f.readLastStamp()
	if err != nil {
		return nil, errors.Join(fault.Wrap(err, "read the last stamp of the event file"), f.file.Close())
	}
	f.lastStamp = last
	return f, nil
}

// LastStamp returns the stamp of the last event that an earlier incarnation of the process wrote, or
// zero. Merging it into the clock of a new Recorder orders the new events after the old ones,
// even if the wall clock was set back in between.
func (f *File) LastStamp() Stamp { return f.lastStamp }

// Write appends lines, and rotates the file first if they do not fit.
func (f *File) Write(lines []byte) (int, error) {
	if f.size > 0 && f.size+int64(len(lines)) > f.maxBytes {
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
		return errors.Join(fault.Wrap(err, "stat the event file"), file.Close())
	}
	f.file, f.size = file, info.Size()
	return nil
}

func (f *File) rotate() error {
	if err := os.Rename(f.path, f.path+rotatedSuffix); err != nil {
		return fault.Wrap(err, "rotate the event file")
	}
	full := f.file
	if err := f.open(); err != nil {
		return err
	}
	return full.Close()
}

// readLastStamp returns the stamp of the last event. If the last line is incomplete, it appends
// a newline, so that the next event starts on a line of its own.
func (f *File) readLastStamp() (Stamp, error) {
	if f.size == 0 {
		return Stamp{}, nil
	}
	start := max(0, f.size-4*maxLineBytes)
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
