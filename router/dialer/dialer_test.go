package dialer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/dialer"
)

// authority signs the certificates of instances.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	text string
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{
		key:  key,
		cert: cert,
		text: encode("CERTIFICATE", der),
	}
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	}))
}

// dialer returns an instance's dialer that trusts another authority's peers.
func (a authority) dialer(t *testing.T, trusted authority) *dialer.Dialer {
	t.Helper()
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotAfter:     time.Now().Add(time.Hour),
		DNSNames:     []string{dialer.PeerName},
	}, a.cert, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	config, err := dialer.Configure(encode("CERTIFICATE", der), encode("EC PRIVATE KEY", keyDER), trusted.text)
	if err != nil {
		t.Fatal(err)
	}
	return &dialer.Dialer{TLS: config}
}

// echo answers every exchange.
type echo struct {
	messenger.DRPCPeerUnimplementedServer
}

func (*echo) Exchange(_ context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	return &messenger.ExchangeReply{Revision: r.GetRevision()}, nil
}

// serve serves peers until the test ends.
func serve(t *testing.T, d *dialer.Dialer) string {
	t.Helper()
	l, err := d.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeer(mux, &echo{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return drpcserver.New(mux).Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return l.Addr().String()
}

const patience = 20 * time.Second

func exchange(t *testing.T, d *dialer.Dialer, address string, limit time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	reply, err := d.Exchange(ctx, address, &messenger.ExchangeRequest{Revision: 7})
	if err == nil && reply.GetRevision() != 7 {
		t.Errorf("got revision %d, want 7", reply.GetRevision())
	}
	return err
}

// TestForged refuses instances that the authority does not vouch for, and ones
// that come without TLS.
func TestForged(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	address := serve(t, ours.dialer(t, ours))
	if err := exchange(t, ours.dialer(t, ours), address, patience); err != nil {
		t.Errorf("got %v for an instance of ours, want an answer", err)
	}
	if err := exchange(t, other.dialer(t, ours), address, patience); err == nil {
		t.Error("got an answer for another authority's instance, want a refusal")
	}
	if err := exchange(t, &dialer.Dialer{}, address, time.Second); err == nil {
		t.Error("got an answer without TLS, want a refusal")
	}
	if err := exchange(t, ours.dialer(t, other), address, patience); err == nil {
		t.Error("got an answer of an instance that is not trusted, want an error")
	}
}

// TestSilent has a connection that goes silent for good while new ones work:
// it is given up at its deadline and the next exchange dials anew.
func TestSilent(t *testing.T) {
	d := &dialer.Dialer{}
	address := serve(t, d)
	relay := newRelay(t, address)
	if err := exchange(t, d, relay.address, patience); err != nil {
		t.Fatal(err)
	}
	relay.silence()
	if err := exchange(t, d, relay.address, 300*time.Millisecond); err == nil {
		t.Error("got an answer over a silent connection, want an error")
	}
	if err := exchange(t, d, relay.address, patience); err != nil {
		t.Errorf("got %v over a new connection, want an answer", err)
	}
}

// relay passes bytes on; connections that are silenced stay open and carry nothing.
type relay struct {
	address string
	quiet   chan chan struct{}
	stop    chan struct{}
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		address: l.Addr().String(),
		stop:    make(chan struct{}),
		quiet:   make(chan chan struct{}, 1),
	}
	r.quiet <- make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			quiet := <-r.quiet
			r.quiet <- quiet
			group.Go(func() error { return r.pass(c, target, quiet) })
		}
	})
	t.Cleanup(func() {
		close(r.stop)
		l.Close()
		_ = group.Wait()
	})
	return r
}

// silence silences the connections that are open; later ones work.
func (r *relay) silence() {
	close(<-r.quiet)
	r.quiet <- make(chan struct{})
}

func (r *relay) pass(c net.Conn, target string, quiet <-chan struct{}) error {
	defer c.Close()
	s, err := net.Dial("tcp", target)
	if err != nil {
		return err
	}
	defer s.Close()
	var group errgroup.Group
	group.Go(func() error { return r.copy(s, c, quiet) })
	group.Go(func() error { return r.copy(c, s, quiet) })
	group.Go(func() error {
		<-r.stop
		c.Close()
		return s.Close()
	})
	return group.Wait()
}

func (r *relay) copy(to, from net.Conn, quiet <-chan struct{}) error {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return nil
		}
		select {
		case <-quiet:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return nil
		}
	}
}
