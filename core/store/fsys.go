package store

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// FS is the file system interface of the store. Names are relative to one directory without
// subdirectories.
type FS interface {
	// Create creates an empty file, or truncates an existing one, and opens it for appending.
	Create(name string) (File, error)
	// Append truncates an existing file to size and opens it for appending.
	Append(name string, size int64) (File, error)
	Read(name string) ([]byte, error)
	// ReadAt reads len(p) bytes of a file from offset off on.
	ReadAt(name string, p []byte, off int64) error
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all regular files.
	List() ([]string, error)
	// SyncDir makes creations, renames and removals of files durable.
	SyncDir() error
	// Lock locks the directory against other processes until the returned Closer is closed.
	Lock() (io.Closer, error)
}

// File is a file that is open for appending. Written bytes are durable only after Sync.
type File interface {
	io.WriteCloser
	Sync() error
}

// Dir is an FS in a directory of the operating system.
type Dir string

// OpenDir returns the directory at path and creates it if necessary.
func OpenDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return "", err
	}
	return Dir(path), nil
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create creates an empty file, or truncates an existing one, and opens it for appending.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o640)
}

// Append truncates an existing file to size and opens it for appending.
func (d Dir) Append(name string, size int64) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(size); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// Read returns the content of a file.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// ReadAt reads len(p) bytes of a file from offset off on.
func (d Dir) ReadAt(name string, p []byte, off int64) error {
	f, err := os.Open(d.path(name))
	if err != nil {
		return err
	}
	_, err = io.ReadFull(io.NewSectionReader(f, off, int64(len(p))), p)
	return errors.Join(err, f.Close())
}

// Rename renames a file and atomically replaces an existing file of the new name.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove deletes a file. A missing file is not an error.
func (d Dir) Remove(name string) error {
	if err := os.Remove(d.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// List returns the names of all regular files.
func (d Dir) List() ([]string, error) {
	list, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range list {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// SyncDir makes creations, renames and removals of files durable.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
