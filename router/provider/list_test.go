package provider_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/router/provider"
)

// soundEntry returns an entry of the list as an instance or an endpoint makes it.
func soundEntry(name string) string {
	return fmt.Sprintf(`{"name":%q,"role":"drafts","address":"10.0.0.1:80","incarnation":7,"data-centre":"z","site":"z"}`, name)
}

// oddEntries are entries that name nothing to use.
func oddEntries() map[string]string {
	sound := soundEntry("odd")
	return map[string]string{
		"no object":             `[]`,
		"null":                  `null`,
		"no fields":             `{}`,
		"nested":                strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
		"nested too deeply":     strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"deeply nested field":   strings.Replace(sound, `"z"`, strings.Repeat(`{"a":[`, 20_000)+strings.Repeat("]}", 20_000), 1),
		"number beyond floats":  strings.Replace(sound, `:7`, `:1e400`, 1),
		"not UTF-8":             strings.Replace(sound, `"10.0`, "\"\xff\xfe", 1),
		"nested field":          strings.Replace(sound, `"z"`, strings.Repeat("[", 5000)+strings.Repeat("]", 5000), 1),
		"a megabyte of digits":  strings.Replace(sound, `:7`, `:`+strings.Repeat("9", 1<<20), 1),
		"incarnation too large": strings.Replace(sound, `:7`, `:18446744073709551616`, 1),
		"negative incarnation":  strings.Replace(sound, `:7`, `:-7`, 1),
		"start too late":        strings.Replace(sound, `:7`, `:18446744073709551615`, 1),
		"no role":               strings.Replace(sound, `"drafts"`, `""`, 1),
		"no address":            strings.Replace(sound, `"10.0.0.1:80"`, `""`, 1),
		"port out of range":     strings.Replace(sound, `:80"`, `:65536"`, 1),
		"port 0":                strings.Replace(sound, `:80"`, `:0"`, 1),
		"address of a type":     strings.Replace(sound, `"10.0.0.1:80"`, `80`, 1),
	}
}

// newClient returns a client for a platform whose list has the given entries.
func newClient(t testing.TB, log *bytes.Buffer, entries ...string) *provider.Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"instances":[%s]}`, strings.Join(entries, ","))
	}))
	t.Cleanup(s.Close)
	logger := logrus.New()
	logger.SetOutput(log)
	return &provider.Client{
		URL:     s.URL,
		Timeout: 5 * time.Second,
		Log:     logger,
	}
}

// TestOddEntryLosesList guards against a list that cannot be read because of one odd entry, and
// against a log that the entry fills.
func TestOddEntryLosesList(t *testing.T) {
	const lineLimit = 1 << 10
	for name, odd := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer
			c := newClient(t, &logged, soundEntry("e1"), odd, soundEntry("e2"))
			for range 3 {
				listed, err := c.List(t.Context())
				if err != nil {
					t.Fatalf("got error %.200v, want the sound entries", err)
				}
				if len(listed) != 2 || listed[0].Name != "e1" || listed[1].Name != "e2" {
					t.Errorf("got %d entries, want e1 and e2", len(listed))
				}
			}
			if got := strings.Count(logged.String(), "\n"); got != 1 || logged.Len() > lineLimit {
				t.Errorf("log: got %d lines of %d bytes, want 1 of at most %d", got, logged.Len(), lineLimit)
			}
		})
	}
}

// TestSplitList checks lists that are written in other ways, and those that are none.
func TestSplitList(t *testing.T) {
	for text, want := range map[string]string{
		`{"instances":[]}`:   ``,
		`{"instances":null}`: ``,
		`{}`:                 ``,
		` { "a" : [ 1 ] , "instances" : [ 1 , {"b":[2, "]"]} ] , "c":{"d":[]} } `: `1;{"b":[2, "]"]}`,
		`{"instances":["x","\u00e9"],"instances":[2]}`:                            `2`,
	} {
		got, err := provider.SplitList([]byte(text))
		if err != nil || string(bytes.Join(got, []byte(";"))) != want {
			t.Errorf("%s: got %q and error %v, want %q", text, got, err, want)
		}
	}
	for _, text := range []string{``, `[]`, `null`, `{`, `{"instances":[`, `{"instances":[1,]}`, `{"instances":[{]}`, `{"instances":[1}`} {
		if got, err := provider.SplitList([]byte(text)); err == nil {
			t.Errorf("%s: got %q, want an error", text, got)
		}
	}
}

// FuzzList checks that a list is split as json.Unmarshal does, where that can read it.
func FuzzList(f *testing.F) {
	f.Add([]byte(`{"instances":[` + soundEntry("a") + `, 5, [1e400] ],"more":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := provider.SplitList(data)
		var want map[string]json.RawMessage
		if json.Unmarshal(data, &want) != nil || want == nil {
			return
		}
		if err != nil {
			t.Fatalf("got error %v, want the entries", err)
		}
		var entries []json.RawMessage
		if json.Unmarshal(want["instances"], &entries) != nil {
			entries = nil
		}
		if len(got) != len(entries) {
			t.Fatalf("got %d entries, want %d", len(got), len(entries))
		}
		for i := range got {
			if !bytes.Equal(bytes.TrimSpace(got[i]), bytes.TrimSpace(entries[i])) {
				t.Errorf("entry %d: got %s, want %s", i, got[i], entries[i])
			}
		}
	})
}

// FuzzEntry checks that any entry either names something to use or is left out.
func FuzzEntry(f *testing.F) {
	const maxSeedBytes = 1 << 10
	f.Add([]byte(soundEntry("odd")))
	for _, odd := range oddEntries() {
		if len(odd) < maxSeedBytes {
			f.Add([]byte(odd))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := provider.DecodeEntry(data)
		if err == nil && (l.Name == "" || l.Role == "" || !strings.Contains(l.Address, ":")) {
			t.Errorf("got %+v, want an error or a name, a role and an address", l)
		}
	})
}
