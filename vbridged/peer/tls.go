package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"vanillabridge/core/fault"
)

// TLSFiles names the PEM files for mutual TLS between instances.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string // CA certificates that sign the certificates of all instances
}

// FileTLS is a TLS configuration that reloads its files when one of them has changed, so that a
// renewed key is used for the next connection.
type FileTLS struct {
	files TLSFiles

	mu            sync.Mutex
	loadedModTime time.Time // newest modification time of the loaded files
	clientConfig  *tls.Config
	serverConfig  *tls.Config
}

// NewFileTLS loads the files and fails if they are unreadable or do not form a valid key pair.
func NewFileTLS(files TLSFiles) (*FileTLS, error) {
	t := &FileTLS{files: files}
	if err := t.load(); err != nil {
		return nil, err
	}
	return t, nil
}

// ClientConfig returns the configuration for the dialing side.
func (t *FileTLS) ClientConfig() *tls.Config {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reloadIfChanged()
	return t.clientConfig
}

// ServerConfig returns the configuration for the accepting side.
func (t *FileTLS) ServerConfig() *tls.Config {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reloadIfChanged()
	return t.serverConfig
}

// reloadIfChanged loads files that have changed. It keeps the previous configuration if loading
// fails, for example while only some of the files have been replaced.
func (t *FileTLS) reloadIfChanged() {
	if newest, err := t.newestModTime(); err == nil && newest.After(t.loadedModTime) {
		_ = t.load()
	}
}

func (t *FileTLS) newestModTime() (time.Time, error) {
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
	newest, err := t.newestModTime()
	if err != nil {
		return fault.Wrap(fault.ErrInvalid, "[tls] read file times: %v", err)
	}
	pair, err := tls.LoadX509KeyPair(t.files.Certificate, t.files.Key)
	if err != nil {
		return fault.Wrap(fault.ErrInvalid, "[tls] load certificate and key: %v", err)
	}
	text, err := os.ReadFile(t.files.Authority)
	if err != nil {
		return fault.Wrap(fault.ErrInvalid, "[tls] read authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return fault.Wrap(fault.ErrInvalid, "[tls] authority: no PEM certificate in %s", t.files.Authority)
	}
	base := tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
	t.clientConfig = base.Clone()
	t.clientConfig.RootCAs = pool
	t.serverConfig = base.Clone()
	t.serverConfig.ClientCAs = pool
	t.serverConfig.ClientAuth = tls.RequireAndVerifyClientCert
	t.loadedModTime = newest
	return nil
}
