package store

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
)

var errCrash = errors.New("crashed")

// memFS is a folder whose unsynced content a crash tears: bytes that were not synced survive in
// part, as zeros or not at all, and so do creations, renames and removals.
type memFS struct {
	rng   *rand.Rand
	files map[string]*memFile
	// dirs are the directory changes since the last SyncDir, oldest first.
	dirs []func(map[string]*memFile)
	base map[string]*memFile
	// crashIn counts down mutating calls to the crash; negative means none.
	crashIn int
	failing error
	syncs   int
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced []byte
}

func newMemFS(seed uint64) *memFS {
	return &memFS{rng: rand.New(rand.NewPCG(seed, 2)), files: map[string]*memFile{}, base: map[string]*memFile{}, crashIn: -1}
}

func (m *memFS) step() error {
	if m.failing != nil {
		return m.failing
	}
	if m.crashIn == 0 {
		return errCrash
	}
	if m.crashIn > 0 {
		m.crashIn--
	}
	return nil
}

func (m *memFS) change(do func(map[string]*memFile)) {
	do(m.files)
	m.dirs = append(m.dirs, do)
}

// crash keeps a prefix of the directory changes and tears every file.
func (m *memFS) crash() {
	for _, do := range m.dirs[:m.rng.IntN(len(m.dirs)+1)] {
		do(m.base)
	}
	m.files, m.dirs, m.crashIn = maps.Clone(m.base), nil, -1
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		m.files[name] = &memFile{fs: m, data: m.files[name].tear()}
		m.files[name].synced = m.files[name].data
	}
	m.base = maps.Clone(m.files)
}

func (f *memFile) tear() []byte {
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
	if err := m.step(); err != nil {
		return nil, err
	}
	f := &memFile{fs: m}
	m.change(func(files map[string]*memFile) { files[name] = f })
	return f, nil
}

func (m *memFS) Append(name string, size int64) (File, error) {
	if err := m.step(); err != nil {
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
	if err := m.step(); err != nil {
		return err
	}
	f := m.files[from]
	m.change(func(files map[string]*memFile) {
		delete(files, from)
		files[to] = f
	})
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.change(func(files map[string]*memFile) { delete(files, name) })
	return nil
}

func (m *memFS) List() ([]string, error) { return slices.Collect(maps.Keys(m.files)), nil }

func (m *memFS) SyncDir() error {
	if err := m.step(); err != nil {
		return err
	}
	m.base, m.dirs = maps.Clone(m.files), nil
	return nil
}

func (m *memFS) Lock() (io.Closer, error) { return io.NopCloser(nil), nil }

func (f *memFile) Write(p []byte) (int, error) {
	if err := f.fs.step(); err != nil {
		// A crash or a full disk may leave a part of the bytes.
		f.data = append(f.data, p[:f.fs.rng.IntN(len(p)+1)]...)
		return 0, err
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *memFile) Sync() error {
	if err := f.fs.step(); err != nil {
		return err
	}
	f.fs.syncs++
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }
