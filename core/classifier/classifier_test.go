package classifier_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/classifier"
)

// TestOperationsPage requires that the table of docs/OPERATIONS.md has a row for
// each error kind with the status and the value of Ran that the code uses.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range classifier.Kinds() {
		r := classifier.ResponseOf(k)
		want := fmt.Sprintf("| `%s` | %d | %s |", k, r.Status, r.Ran)
		if !strings.Contains(string(page), want) {
			t.Errorf("docs/OPERATIONS.md has no row %q", want)
		}
	}
}

// TestWrite requires that a response has the status and headers of its error kind
// and that callers are not sent the cause.
func TestWrite(t *testing.T) {
	w := httptest.NewRecorder()
	classifier.Write(w, errors.Wrap(&classifier.Error{
		Kind:       classifier.Overloaded,
		Detail:     "busy",
		RetryAfter: 1500 * time.Millisecond,
		Wrapped:    errors.New("secret"),
	}, "context"))
	if got, want := w.Code, 429; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got, want := w.Header().Get("Retry-After"), "2"; got != want {
		t.Errorf("got Retry-After %q, want %q", got, want)
	}
	if strings.Contains(w.Body.String(), "secret") {
		t.Errorf("got body %s, want one without the cause", w.Body)
	}
	var body classifier.Body
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	if body.Error.Kind != classifier.Overloaded || body.Error.Ran != classifier.RanNo {
		t.Errorf("got %+v, want kind overloaded and ran no", body.Error)
	}
}

func ExampleError() {
	fmt.Println(classifier.Wrap(classifier.NotReached, errors.New("refused"), "no endpoint took the request"))
	// Output: not-reached: no endpoint took the request: refused
}
