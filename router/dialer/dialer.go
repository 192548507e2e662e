// Package dialer opens and serves the connections between instances: drpc over
// TCP, under mutual TLS unless the settings say "plain".
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

// Dialer keeps one connection for calls to each address.
type Dialer struct {
	// TLS is the configuration for both ends; nil means plain.
	TLS *tls.Config

	mu    sync.Mutex
	conns map[string]*call
}

// call is one connection; drpc carries one call at a time on it.
type call struct {
	mu   sync.Mutex
	conn *drpcconn.Conn
}

// Configure returns the mutual TLS configuration from PEM texts.
func Configure(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.X509KeyPair([]byte(certificate), []byte(key))
	if err != nil {
		return nil, errors.Wrap(err, "peer certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(authority)) {
		return nil, errors.New("peer authority holds no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
		// Instances are addressed by IP; the authority vouches for them, and
		// every certificate bears this name.
		ServerName: PeerName,
	}, nil
}

// PeerName is the name in every instance's certificate.
const PeerName = "heatherhold-peer"

// Listen listens for peers on address.
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

// Open dials a new connection, for a conversation of its own.
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

// Exchange calls a peer over the connection kept for it. A connection that
// fails or stays silent until ctx ends is closed and dialled anew next time.
func (d *Dialer) Exchange(ctx context.Context, address string, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	c := d.call(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		conn, err := d.Open(ctx, address)
		if err != nil {
			return nil, err
		}
		c.conn = conn
	}
	reply, err := messenger.NewDRPCPeerClient(c.conn).Exchange(ctx, r)
	if err != nil {
		_ = c.conn.Close()
		c.conn = nil
		return nil, errors.Wrap(err, "exchange")
	}
	return reply, nil
}

func (d *Dialer) call(address string) *call {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns == nil {
		d.conns = make(map[string]*call)
	}
	c, ok := d.conns[address]
	if !ok {
		c = &call{}
		d.conns[address] = c
	}
	return c
}
