package store

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
)

var errCrash = errors.New("crashed")

// memFS is an FS in memory that simulates crashes. Of unsynced bytes a crash keeps a random prefix,
// in which some bytes are zero. Of unsynced creations, renames and removals it keeps a random
// prefix.
type memFS struct {
	rng   *rand.Rand
	files map[string]*memFile
	// unsyncedChanges holds the directory changes since the last SyncDir, oldest first, and
	// durableFiles the directory as of that SyncDir.
	unsyncedChanges []func(map[string]*memFile)
	durableFiles    map[string]*memFile
	// callsUntilCrash is the number of modifying calls that succeed before all fail with errCrash;
	// negative means that none fail.
	callsUntilCrash int
	injectedErr     error
	full            bool // writes and creations fail for lack of space
	syncCount       int
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced []byte
}

func newMemFS(seed uint64) *memFS {
	return &memFS{rng: rand.New(rand.NewPCG(seed, 2)), files: map[string]*memFile{}, durableFiles: map[string]*memFile{}, callsUntilCrash: -1}
}

func (m *memFS) beginCall() error {
	if m.injectedErr != nil {
		return m.injectedErr
	}
	if m.callsUntilCrash == 0 {
		return errCrash
	}
	if m.callsUntilCrash > 0 {
		m.callsUntilCrash--
	}
	return nil
}

func (m *memFS) changeDir(do func(map[string]*memFile)) {
	do(m.files)
	m.unsyncedChanges = append(m.unsyncedChanges, do)
}

// crash replaces the files by what a crash leaves of them.
func (m *memFS) crash() {
	for _, do := range m.unsyncedChanges[:m.rng.IntN(len(m.unsyncedChanges)+1)] {
		do(m.durableFiles)
	}
	m.files, m.unsyncedChanges, m.callsUntilCrash = maps.Clone(m.durableFiles), nil, -1
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		m.files[name] = &memFile{fs: m, data: m.files[name].contentAfterCrash()}
		m.files[name].synced = m.files[name].data
	}
	m.durableFiles = maps.Clone(m.files)
}

func (f *memFile) contentAfterCrash() []byte {
	rng := f.fs.rng
	if len(f.data) < len(f.synced) {
		return slices.Clone(f.synced)
	}
	tail := slices.Clone(f.data[len(f.synced):])
	tail = tail[:rng.IntN(len(tail)+1)]
	for at := range tail {
		if rng.IntN(20) == 0 {
			clear(tail[at:min(len(tail), at+rng.IntN(16))])
		}
	}
	return append(slices.Clone(f.synced), tail...)
}

func (m *memFS) Create(name string) (File, error) {
	if err := m.beginCall(); err != nil {
		return nil, err
	}
	if m.full {
		return nil, syscall.ENOSPC
	}
	f := &memFile{fs: m}
	m.changeDir(func(files map[string]*memFile) { files[name] = f })
	return f, nil
}

func (m *memFS) Append(name string, size int64) (File, error) {
	if err := m.beginCall(); err != nil {
		return nil, err
	}
	f := m.files[name]
	f.data = f.data[:size:size]
	return f, nil
}

func (m *memFS) Read(name string) ([]byte, error) {
	if f := m.files[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) ReadAt(name string, p []byte, off int64) error {
	copy(p, m.files[name].data[off:])
	return nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.beginCall(); err != nil {
		return err
	}
	f := m.files[from]
	m.changeDir(func(files map[string]*memFile) {
		delete(files, from)
		files[to] = f
	})
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.beginCall(); err != nil {
		return err
	}
	m.changeDir(func(files map[string]*memFile) { delete(files, name) })
	return nil
}

func (m *memFS) List() ([]string, error) { return slices.Collect(maps.Keys(m.files)), nil }

func (m *memFS) SyncDir() error {
	if err := m.beginCall(); err != nil {
		return err
	}
	m.durableFiles, m.unsyncedChanges = maps.Clone(m.files), nil
	return nil
}

func (m *memFS) Lock() (io.Closer, error) { return io.NopCloser(nil), nil }

func (f *memFile) Write(p []byte) (int, error) {
	if err := f.fs.beginCall(); err != nil {
		// A crash or a full disk may leave a part of the bytes in the file.
		f.data = append(f.data, p[:f.fs.rng.IntN(len(p)+1)]...)
		return 0, err
	}
	if f.fs.full {
		f.data = append(f.data, p[:f.fs.rng.IntN(len(p)+1)]...)
		return 0, syscall.ENOSPC
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *memFile) Sync() error {
	if err := f.fs.beginCall(); err != nil {
		return err
	}
	f.fs.syncCount++
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }
