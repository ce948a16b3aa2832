package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"vanillabridge/core/model"
	"vanillabridge/vbridged/peer"
)

// certificateAuthority signs certificates for 127.0.0.1.
type certificateAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) certificateAuthority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return certificateAuthority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issueFiles writes a new key, a certificate for it signed by a, and the CA certificate of trusted.
func (a certificateAuthority) issueFiles(t *testing.T, trusted certificateAuthority) peer.TLSFiles {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := peer.TLSFiles{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "ca.pem"),
	}
	writeFile(t, files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	writeFile(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}))
	writeFile(t, files.Authority, trusted.pem)
	return files
}

func writeFile(t *testing.T, name string, text []byte) {
	t.Helper()
	if err := os.WriteFile(name, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against accepting a peer whose certificate is not signed by the cell's authority, and
// against a renewed key that takes effect only after a restart.
func TestTLSRejectsUntrustedPeerAndReloadsRenewedKey(t *testing.T) {
	cellCA, otherCA := newAuthority(t), newAuthority(t)
	filesA := cellCA.issueFiles(t, cellCA)
	filesB := otherCA.issueFiles(t, cellCA) // trusts the authority of the cell, but is signed by another one
	listenerA, listenerB := listenLocal(t), listenLocal(t)
	addressA := peer.Address{Instance: "one", Region: "east", Peer: listenerA.Addr().String()}
	addressB := peer.Address{Instance: "two", Region: "east", Peer: listenerB.Addr().String()}
	a := serveTLS(t, addressA, addressB, listenerA, filesA)
	b := serveTLS(t, addressB, addressA, listenerB, filesB)
	b.Handle("echo", func(context.Context, model.Instance, json.RawMessage) (any, error) { return true, nil })
	deadline := time.Now().Add(time.Second)
	for time.Now().Before(deadline) {
		if a.IsConnected("two") {
			t.Fatal("connected to a peer whose certificate is not signed by the authority")
		}
		time.Sleep(10 * time.Millisecond)
	}
	renewed := cellCA.issueFiles(t, cellCA)
	later := time.Now().Add(time.Minute)
	for from, to := range map[string]string{renewed.Certificate: filesB.Certificate, renewed.Key: filesB.Key} {
		text, err := os.ReadFile(from)
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, to, text)
		if err := os.Chtimes(to, later, later); err != nil {
			t.Fatal(err)
		}
	}
	for !a.IsConnected("two") {
		time.Sleep(10 * time.Millisecond) // bounded by the test timeout
	}
	if err := a.Call(t.Context(), "two", "echo", nil, nil); err != nil {
		t.Errorf("call after the key renewal: %v", err)
	}
}

func serveTLS(t *testing.T, self, other peer.Address, l net.Listener, files peer.TLSFiles) *peer.Transport {
	t.Helper()
	config, err := peer.NewFileTLS(files)
	if err != nil {
		t.Fatal(err)
	}
	n := peer.New(self, []peer.Address{other}, config, nil)
	n.Serve(l)
	t.Cleanup(n.Close)
	return n
}
