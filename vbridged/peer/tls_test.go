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

// authority signs certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) authority {
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
	return authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// files writes a certificate signed by a, to be checked against the authority trusted.
func (a authority) files(t *testing.T, trusted authority) peer.Files {
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
	files := peer.Files{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "ca.pem"),
	}
	write(t, files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}))
	write(t, files.Authority, trusted.pem)
	return files
}

func write(t *testing.T, name string, text []byte) {
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

// Guards against a peer that is accepted without a certificate of the cell's authority, and
// against a key that is only read at the start.
func TestTLSChecksPeersAndTakesRenewedKey(t *testing.T) {
	good, bad := newAuthority(t), newAuthority(t)
	ours := good.files(t, good)
	theirs := bad.files(t, good) // trusts the cell, but is not signed by its authority
	l, k := listenLocal(t), listenLocal(t)
	one := peer.Address{Instance: "one", Region: "east", Peer: l.Addr().String()}
	two := peer.Address{Instance: "two", Region: "east", Peer: k.Addr().String()}
	a := serveTLS(t, one, two, l, ours)
	b := serveTLS(t, two, one, k, theirs)
	b.Handle("echo", func(context.Context, model.Instance, json.RawMessage) (any, error) { return true, nil })
	deadline := time.Now().Add(time.Second)
	for time.Now().Before(deadline) {
		if a.IsReached("two") {
			t.Fatal("an instance without a certificate of the authority was accepted")
		}
		time.Sleep(10 * time.Millisecond)
	}
	renewed := good.files(t, good)
	later := time.Now().Add(time.Minute)
	for from, to := range map[string]string{renewed.Certificate: theirs.Certificate, renewed.Key: theirs.Key} {
		text, err := os.ReadFile(from)
		if err != nil {
			t.Fatal(err)
		}
		write(t, to, text)
		if err := os.Chtimes(to, later, later); err != nil {
			t.Fatal(err)
		}
	}
	for !a.IsReached("two") {
		time.Sleep(10 * time.Millisecond) // the test's own timeout ends a wait in vain
	}
	if err := a.Call(t.Context(), "two", "echo", nil, nil); err != nil {
		t.Errorf("call after the key was renewed: %v", err)
	}
}

func serveTLS(t *testing.T, self, other peer.Address, l net.Listener, files peer.Files) *peer.Net {
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
