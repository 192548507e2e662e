package main_test

import (
	"errors"
	"net"
	"strings"
	"testing"
)

// TestBytesOfNoPeerNotLogged guards against a connection to the peers' port that is
// dropped without a line in the log although its bytes are not of the protocol.
func TestBytesOfNoPeerNotLogged(t *testing.T) {
	s := newSystem(t, 1)
	r := s.routers["r1"]
	c, err := net.Dial("tcp", r.peer)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	// A frame of the protocol is at least four bytes long and names its kind in the first.
	if _, err := c.Write([]byte(strings.Repeat("\xff", 64))); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the router logs the bytes", func() error {
		if !strings.Contains(r.logText(), "it sent bytes that are not of the protocol") {
			return errors.New("no line names the connection")
		}
		return nil
	})
}
