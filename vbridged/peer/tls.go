package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"vanillabridge/core/fault"
)

// Files names the PEM files of mutual TLS between instances.
type Files struct {
	Certificate string
	Key         string
	Authority   string // signs the certificates of all instances
}

// FileTLS reads its files again when one of them has changed, so that a renewed key is used
// for the next connection.
type FileTLS struct {
	files Files

	mu     sync.Mutex
	read   time.Time // newest modification time that was read
	client *tls.Config
	server *tls.Config
}

// NewFileTLS reads the files.
func NewFileTLS(files Files) (*FileTLS, error) {
	t := &FileTLS{files: files}
	if err := t.load(); err != nil {
		return nil, err
	}
	return t, nil
}

// Client returns the configuration for the dialling side.
func (t *FileTLS) Client() *tls.Config {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.client
}

// Server returns the configuration for the accepting side.
func (t *FileTLS) Server() *tls.Config {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.server
}

// refresh keeps the earlier configuration while the files are being replaced and do not fit
// together.
func (t *FileTLS) refresh() {
	if newest, err := t.modified(); err == nil && newest.After(t.read) {
		_ = t.load()
	}
}

func (t *FileTLS) modified() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{t.files.Certificate, t.files.Key, t.files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return newest, err
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

func (t *FileTLS) load() error {
	newest, err := t.modified()
	if err != nil {
		return fault.Wrap(fault.ErrInvalid, "[tls]: %v", err)
	}
	pair, err := tls.LoadX509KeyPair(t.files.Certificate, t.files.Key)
	if err != nil {
		return fault.Wrap(fault.ErrInvalid, "[tls] certificate and key: %v", err)
	}
	text, err := os.ReadFile(t.files.Authority)
	if err != nil {
		return fault.Wrap(fault.ErrInvalid, "[tls] authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return fault.Wrap(fault.ErrInvalid, "[tls] authority: %s holds no certificate", t.files.Authority)
	}
	base := tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
	t.client = base.Clone()
	t.client.RootCAs = pool
	t.server = base.Clone()
	t.server.ClientCAs = pool
	t.server.ClientAuth = tls.RequireAndVerifyClientCert
	t.read = newest
	return nil
}
