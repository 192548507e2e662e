// Package dialer dials and listens for the connections between instances: drpc
// over TCP, with mutual TLS unless the settings say "plain".
package dialer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"heatherhold.dev/core/messenger"
)

const dialTimeout = time.Second

// Dialer opens connections to peers. For Exchange it keeps one connection per
// address.
type Dialer struct {
	// TLS is the configuration for dialling and for listening; nil means no TLS.
	TLS *tls.Config

	mu    sync.Mutex
	conns map[string]*peerConn
}

// peerConn is the connection that is kept for an address. The mutex is held during
// a call, because drpc carries only one call at a time on a connection.
type peerConn struct {
	mu   sync.Mutex
	conn *drpcconn.Conn
}

// TLSConfig returns the mutual TLS configuration for a PEM-encoded certificate,
// key and certificate authority.
func TLSConfig(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.X509KeyPair([]byte(certificate), []byte(key))
	if err != nil {
		return nil, errors.Wrap(err, "load peer certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(authority)) {
		return nil, errors.New("peer authority contains no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
		// Instances are addressed by IP, so every instance's certificate contains
		// this name. The authority's signature shows that a peer is an instance.
		ServerName: PeerName,
	}, nil
}

// PeerName is the DNS name in every instance's certificate.
const PeerName = "heatherhold-peer"

// Listen listens for connections from peers on address.
func (d *Dialer) Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	if d.TLS != nil {
		l = tls.NewListener(l, d.TLS)
	}
	return l, nil
}

// Open dials a new connection that is not shared, for a stream.
func (d *Dialer) Open(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var c net.Conn
	var err error
	if d.TLS == nil {
		c, err = (&net.Dialer{}).DialContext(ctx, "tcp", address)
	} else {
		c, err = (&tls.Dialer{Config: d.TLS}).DialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	return drpcconn.New(c), nil
}

// Exchange calls a peer over the connection kept for its address. If the call
// fails, or the peer does not respond before ctx ends, Exchange closes the
// connection, and the next call dials a new one.
func (d *Dialer) Exchange(ctx context.Context, address string, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	reply, err := call(ctx, d, address, address, func(p messenger.DRPCPeerClient) (*messenger.ExchangeReply, error) {
		return p.Exchange(ctx, r)
	})
	return reply, errors.Wrap(err, "exchange state with peer")
}

// Read calls a peer over a connection that is kept for its address and the table,
// because the peer may wait for a change before it replies. Like Exchange, it closes
// the connection if the call fails.
func (d *Dialer) Read(ctx context.Context, address string, r *messenger.ReadRequest) (*messenger.ReadReply, error) {
	reply, err := call(ctx, d, address+"/"+r.GetTable(), address, func(p messenger.DRPCPeerClient) (*messenger.ReadReply, error) {
		return p.Read(ctx, r)
	})
	return reply, errors.Wrap(err, "read table from peer")
}

// call makes one call over the connection that is kept under a key. If the call fails,
// it closes the connection.
func call[T any](ctx context.Context, d *Dialer, key, address string, f func(messenger.DRPCPeerClient) (*T, error)) (*T, error) {
	c := d.connFor(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := d.connect(ctx, c, address); err != nil {
		return nil, err
	}
	reply, err := f(messenger.NewDRPCPeerClient(c.conn))
	if err != nil {
		c.close()
		return nil, err
	}
	return reply, nil
}

// connect dials the address unless c is connected. The caller holds c.mu.
func (d *Dialer) connect(ctx context.Context, c *peerConn, address string) error {
	if c.conn != nil {
		return nil
	}
	conn, err := d.Open(ctx, address)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

// close closes the connection, whatever state it is in. The caller holds c.mu.
func (c *peerConn) close() {
	_ = c.conn.Close()
	c.conn = nil
}

// connFor returns the connection that is kept for a key, which contains the address
// and what the connection is for.
func (d *Dialer) connFor(key string) *peerConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns == nil {
		d.conns = make(map[string]*peerConn)
	}
	c, ok := d.conns[key]
	if !ok {
		c = &peerConn{}
		d.conns[key] = c
	}
	return c
}
