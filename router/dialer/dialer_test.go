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
	pem  string
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
		pem:  encode("CERTIFICATE", der),
	}
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	}))
}

// dialer returns the dialer of an instance that has a certificate signed by a and
// accepts peers whose certificates trusted has signed.
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
	config, err := dialer.TLSConfig(encode("CERTIFICATE", der), encode("EC PRIVATE KEY", keyDER), trusted.pem)
	if err != nil {
		t.Fatal(err)
	}
	return &dialer.Dialer{TLS: config}
}

// echoServer replies to every exchange with the request's revision.
type echoServer struct {
	messenger.DRPCPeerUnimplementedServer
}

func (*echoServer) Exchange(_ context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	return &messenger.ExchangeReply{Revision: r.GetRevision()}, nil
}

// serve serves exchanges until the test ends, and returns the address.
func serve(t *testing.T, d *dialer.Dialer) string {
	t.Helper()
	l, err := d.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeer(mux, &echoServer{}); err != nil {
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

const exchangeTimeout = 20 * time.Second

func exchange(t *testing.T, d *dialer.Dialer, address string, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	reply, err := d.Exchange(ctx, address, &messenger.ExchangeRequest{Revision: 7})
	if err == nil && reply.GetRevision() != 7 {
		t.Errorf("got revision %d, want 7", reply.GetRevision())
	}
	return err
}

// TestUntrustedPeerRefused requires that an instance refuses peers whose
// certificate the authority has not signed, and peers without TLS, and that it
// accepts no reply from a server that it does not trust.
func TestUntrustedPeerRefused(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	address := serve(t, trusted.dialer(t, trusted))
	if err := exchange(t, trusted.dialer(t, trusted), address, exchangeTimeout); err != nil {
		t.Errorf("got %v for an instance with a trusted certificate, want a reply", err)
	}
	if err := exchange(t, untrusted.dialer(t, trusted), address, exchangeTimeout); err == nil {
		t.Error("got a reply for an instance of another authority, want an error")
	}
	if err := exchange(t, &dialer.Dialer{}, address, time.Second); err == nil {
		t.Error("got a reply without TLS, want an error")
	}
	if err := exchange(t, trusted.dialer(t, untrusted), address, exchangeTimeout); err == nil {
		t.Error("got a reply from an instance that is not trusted, want an error")
	}
}

// TestUnresponsiveConnectionReplaced has an open connection carry no more data
// while new connections work. The call over it must fail at its deadline, and the
// next exchange must dial a new connection.
func TestUnresponsiveConnectionReplaced(t *testing.T) {
	d := &dialer.Dialer{}
	address := serve(t, d)
	relay := newRelay(t, address)
	if err := exchange(t, d, relay.address, exchangeTimeout); err != nil {
		t.Fatal(err)
	}
	relay.stall()
	if err := exchange(t, d, relay.address, 300*time.Millisecond); err == nil {
		t.Error("got a reply over a stalled connection, want an error")
	}
	if err := exchange(t, d, relay.address, exchangeTimeout); err != nil {
		t.Errorf("got %v over a new connection, want a reply", err)
	}
}

// tcpRelay forwards connections to a target. Stalled connections stay open, but
// the relay discards what it reads from them.
type tcpRelay struct {
	address string
	// stalled holds the channel whose closing stalls the connections accepted so far.
	stalled chan chan struct{}
	stop    chan struct{}
}

func newRelay(t *testing.T, target string) *tcpRelay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &tcpRelay{
		address: l.Addr().String(),
		stop:    make(chan struct{}),
		stalled: make(chan chan struct{}, 1),
	}
	r.stalled <- make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			stalled := <-r.stalled
			r.stalled <- stalled
			group.Go(func() error { return r.forward(c, target, stalled) })
		}
	})
	t.Cleanup(func() {
		close(r.stop)
		l.Close()
		_ = group.Wait()
	})
	return r
}

// stall stalls the connections that are open; later ones work.
func (r *tcpRelay) stall() {
	close(<-r.stalled)
	r.stalled <- make(chan struct{})
}

func (r *tcpRelay) forward(c net.Conn, target string, stalled <-chan struct{}) error {
	defer c.Close()
	s, err := net.Dial("tcp", target)
	if err != nil {
		return err
	}
	defer s.Close()
	var group errgroup.Group
	group.Go(func() error { return r.copy(s, c, stalled) })
	group.Go(func() error { return r.copy(c, s, stalled) })
	group.Go(func() error {
		<-r.stop
		c.Close()
		return s.Close()
	})
	return group.Wait()
}

func (r *tcpRelay) copy(to, from net.Conn, stalled <-chan struct{}) error {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return nil
		}
		select {
		case <-stalled:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return nil
		}
	}
}
