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

// TestPage holds the table of docs/OPERATIONS.md against the code.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range classifier.Kinds() {
		a := classifier.AnswerOf(k)
		want := fmt.Sprintf("| `%s` | %d | %s |", k, a.Status, a.Ran)
		if !strings.Contains(string(page), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
}

// TestWrite answers by the table, and tells callers nothing of the cause.
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
		t.Errorf("got body %s, want nothing of the cause", w.Body)
	}
	var body classifier.Body
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	if body.Error.Kind != classifier.Overloaded || body.Error.Ran != classifier.RanNo {
		t.Errorf("got %+v, want overloaded that did not run", body.Error)
	}
}

func ExampleError() {
	fmt.Println(classifier.Wrap(classifier.NotReached, errors.New("refused"), "no endpoint took the request"))
	// Output: not-reached: no endpoint took the request: refused
}
