package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/core/suppressor"
)

// List reads the instance list. An entry that is not understood is left out.
func (c *Client) List(ctx context.Context) ([]messenger.ListedInstance, error) {
	data, err := c.call(ctx, http.MethodGet, "/v1/instances", nil, nil)
	if err != nil {
		return nil, err
	}
	entries, err := SplitList(data)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, suppressor.Cut(err))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.odd.Begin()
	defer c.odd.End()
	var out []messenger.ListedInstance
	for _, data := range entries {
		l, err := DecodeEntry(data)
		if err == nil {
			out = append(out, l)
			continue
		}
		if entry := fmt.Sprintf("%.200s", data); c.odd.Add(entry) {
			c.Log.WithField("error", suppressor.Cut(err)).WithField("entry", entry).Warn("entry of the instance list not understood; it is set aside")
		}
	}
	return out, nil
}

// listField is the field of the instance list that has the entries.
const listField = "instances"

// SplitList splits an instance list into its entries without decoding them: json.Unmarshal
// refuses the whole list if one entry is nested too deeply.
func SplitList(data []byte) ([][]byte, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, errors.Errorf("instance list begins with %v: %v", t, err)
	}
	var entries [][]byte
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, err
		}
		values, err := splitValue(d, data)
		if err != nil {
			return nil, err
		}
		if name == listField {
			entries = values
		}
	}
	_, err := d.Token()
	return entries, err
}

// splitValue reads one value and returns its elements if it is an array.
func splitValue(d *json.Decoder, data []byte) ([][]byte, error) {
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	if t != json.Delim('[') {
		return nil, skip(d, t)
	}
	var elements [][]byte
	for d.More() {
		start := d.InputOffset()
		t, err := d.Token()
		if err == nil {
			err = skip(d, t)
		}
		if err != nil {
			return nil, err
		}
		elements = append(elements, bytes.TrimLeft(data[start:d.InputOffset()], ", \t\r\n"))
	}
	_, err = d.Token()
	return elements, err
}

// skip reads the rest of a value whose first token is t.
func skip(d *json.Decoder, t json.Token) error {
	for depth := nesting(t); depth > 0; depth += nesting(t) {
		var err error
		if t, err = d.Token(); err != nil {
			return err
		}
	}
	return nil
}

// nesting returns by how much a token changes the depth.
func nesting(t json.Token) int {
	switch t {
	case json.Delim('['), json.Delim('{'):
		return 1
	case json.Delim(']'), json.Delim('}'):
		return -1
	}
	return 0
}

// DecodeEntry decodes one entry of the instance list. It returns an error if the entry
// names nothing that can be reached.
func DecodeEntry(data []byte) (messenger.ListedInstance, error) {
	var l messenger.ListedInstance
	if err := json.Unmarshal(data, &l); err != nil {
		return l, errors.Wrap(err, "decode entry")
	}
	if err := l.Check(); err != nil {
		return l, err
	}
	host, port, err := net.SplitHostPort(l.Address)
	if err != nil {
		return l, errors.Wrap(err, "parse entry's address")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" || strings.ContainsFunc(host, notInHost) {
		return l, errors.Errorf("unusable address %q of an entry", l.Address)
	}
	return l, nil
}

// notInHost reports whether a host's name or address cannot contain c.
func notInHost(c rune) bool {
	return c <= ' ' || c > '~'
}
