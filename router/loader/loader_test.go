package loader_test

import (
	"encoding"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/router/loader"
)

// collectKeys adds the dotted TOML keys of v's type, with the given prefix, and
// their values to values.
func collectKeys(prefix string, v reflect.Value, values map[string]string) {
	if v.Kind() == reflect.Pointer {
		// A section that is not set contributes its keys, too.
		v = reflect.New(v.Type().Elem()).Elem()
	}
	if v.Kind() == reflect.Pointer && v.IsNil() {
		v = reflect.New(v.Type().Elem()).Elem()
	}
	t := v.Type()
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, err := m.MarshalText()
		if err != nil {
			panic(err)
		}
		values[prefix] = string(text)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		for i := range t.NumField() {
			key := t.Field(i).Tag.Get("toml")
			if !t.Field(i).IsExported() || key == "-" {
				// Operators can't set the field.
				continue
			}
			if prefix != "" {
				key = prefix + "." + key
			}
			collectKeys(key, v.Field(i), values)
		}
	case reflect.Map:
		collectKeys(prefix+".NAME", reflect.New(t.Elem()).Elem(), values)
	default:
		values[prefix] = fmt.Sprint(v.Interface())
	}
}

var tableRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (?:`([^`]*)`|([^|]*)) \\|")

// TestSettingsPageMatchesCode requires that docs/SETTINGS.md lists the same keys
// and the same defaults as the code.
func TestSettingsPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	s, err := loader.Load("")
	if err != nil {
		t.Fatal(err)
	}
	settings, want := make(map[string]string), make(map[string]string)
	collectKeys("", reflect.ValueOf(*s), settings)
	collectKeys("", reflect.ValueOf(declarer.Declaration{}), want)
	for key, value := range settings {
		want[key] = value
	}
	for _, m := range tableRow.FindAllStringSubmatch(string(page), -1) {
		key, value := m[1], m[2]
		if _, ok := want[key]; !ok {
			t.Errorf("the page lists %s, which is no key in the code", key)
		}
		if def, ok := settings[key]; ok && value != def && m[3] != "a test key's" && (m[3] != "empty" || def != "") {
			t.Errorf("%s: got default %q on the page, want %q", key, value+m[3], def)
		}
		delete(want, key)
	}
	for key := range want {
		t.Errorf("the page does not list %s", key)
	}
}

// TestInvalidSettings requires that errors for invalid settings name line and key.
func TestInvalidSettings(t *testing.T) {
	for text, want := range map[string]string{
		"instnce = \"r\"":                      ":1: instnce: unknown key",
		"[peer]\nterm = 3":                     ":2: peer.term:",
		"[peer]\nterm = \"20s\"":               ":2: peer.term: want 1.2s to 9s",
		"[peer]\nsecurity = \"none\"":          ":2: peer.security: want",
		"[peer]\nsecurity = \"tls\"":           ":2: peer.security: \"tls\" needs",
		"[peer]\ncertificate = \"x\"":          "contradicts",
		"[listen]\ncaller = \"localhost:80\"":  ":2: listen.caller: want IP:port",
		"[trace]\nsample = 2.0":                ":2: trace.sample: want 0 to 1",
		"site = \"\"":                          ":1: site: is missing",
		"[caller]\nbody-limit = 0":             ":2: caller.body-limit:",
		"[caller]\nbody-memory = -1":           ":2: caller.body-memory: want 0 or more bytes",
		"[caller]\nmax-connections = -1":       ":2: caller.max-connections: want 0 or more",
		"[caller]\nkey = \"x\"":                ":2: caller.key: certificate and key must be set together",
		"log-format = \"xml\"":                 ":1: log-format: want",
		"[operator]\nkey-sha256 = \"zz\"":      ":2: operator.key-sha256: want 64 hexadecimal digits in lower case",
		"instance = \"a\"\ninstance = \"b\"\n": ":2:",
	} {
		path := filepath.Join(t.TempDir(), "s.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := loader.Load(path)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

// TestPublicTestKeyOnPlatform guards against an operators' key that everyone knows, where
// the settings of an instance on a platform with a store name none.
func TestPublicTestKeyOnPlatform(t *testing.T) {
	const store = "\n[store]\naddress = \"127.0.0.1:1\"\nwait = \"1s\"\n"
	own := strings.Repeat("ab", 32)
	for text, want := range map[string]string{
		store: "",
		"[operator]\nkey-sha256 = \"" + own + "\"\n" + store: own,
	} {
		path := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(path, []byte("[listen]\nready = \"127.0.0.1:2\"\n"+text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := loader.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Operator.KeySHA256; got != want {
			t.Errorf("got key hash %q, want %q", got, want)
		}
	}
}

// TestLimitsDerivedFromMemory guards against defaults that the smallest machine can't hold, and against
// settings that are ignored.
func TestLimitsDerivedFromMemory(t *testing.T) {
	for _, c := range []struct {
		settings       loader.Settings
		bodyMemory     int64
		maxConnections int
	}{
		{bodyMemory: 64 << 20},
		{settings: loader.Settings{Store: &loader.Store{}}, bodyMemory: 64 << 20},
		{settings: loader.Settings{Store: &loader.Store{MemoryMB: 184}}, bodyMemory: 23 << 20, maxConnections: 1472},
		{settings: loader.Settings{Store: &loader.Store{MemoryMB: 16}}, bodyMemory: 2 << 20, maxConnections: 512},
		{
			settings: loader.Settings{
				Caller: loader.Caller{
					BodyMemory:     5,
					MaxConnections: 6,
				},
				Store: &loader.Store{MemoryMB: 184},
			},
			bodyMemory:     5,
			maxConnections: 6,
		},
	} {
		if got := c.settings.BodyMemory(); got != c.bodyMemory {
			t.Errorf("%+v: got a body memory of %d bytes, want %d", c.settings, got, c.bodyMemory)
		}
		got, err := c.settings.MaxConnections()
		if err != nil || got < 1 || (c.maxConnections > 0 && got > c.maxConnections) {
			t.Errorf("%+v: got at most %d connections, error %v, want 1 to %d", c.settings, got, err, c.maxConnections)
		}
	}
}
