package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// maxLineBytes bounds the length of a line, so that a damaged file cannot exhaust memory.
const maxLineBytes = 1 << 20

// Writer appends lines to a journal. A nil Writer discards them.
type Writer struct {
	mu   sync.Mutex
	file *os.File
	err  error
}

// Open opens a journal for appending; an empty path gives a Writer that discards.
func Open(path string) (*Writer, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	return &Writer{file: f}, nil
}

// Write appends a line. Writes are unbuffered, so that no line is lost when the process is killed.
// Errors are returned by Close.
func (w *Writer) Write(l Line) {
	if w == nil {
		return
	}
	data, err := json.Marshal(l)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		_, err = w.file.Write(append(data, '\n'))
	}
	if err != nil && w.err == nil {
		w.err = err
	}
}

// Close closes the journal and returns the first error of a write or of the close.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.file.Close(); err != nil && w.err == nil {
		w.err = err
	}
	return w.err
}

// ReadDir reads all journals (*.jsonl) of a folder. It skips a last line without a newline, since
// its writer was killed while writing it.
func ReadDir(dir string) ([]Line, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		return nil, fmt.Errorf("list journals: %w", err)
	}
	var lines []Line
	for _, name := range names {
		part, err := readFile(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, part...)
	}
	return lines, nil
}

func readFile(name string) ([]Line, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read journal: %w", err)
	}
	var lines []Line
	for n := 1; len(data) > 0; n++ {
		size, text, err := bufio.ScanLines(data, false)
		if err != nil || size == 0 {
			break
		}
		data = data[size:]
		if len(text) > maxLineBytes {
			return nil, fmt.Errorf("journal %s line %d: longer than %d bytes", name, n, maxLineBytes)
		}
		var l Line
		if err := json.Unmarshal(text, &l); err != nil {
			return nil, fmt.Errorf("journal %s line %d: %w", name, n, err)
		}
		lines = append(lines, l)
	}
	return lines, nil
}
