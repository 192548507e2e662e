package proxier_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
)

// TestAskWithoutLengthOfBeginning guards against asks that name the beginning of the prompt
// without its length: the owner would expect nothing to be saved.
func TestAskWithoutLengthOfBeginning(t *testing.T) {
	e := newEndpoint(t, "a", reply(http.StatusOK, "Content-Type: text/event-stream\r\n", "id: 1\n\n"))
	f := newFixture(cataloguer.Resumable, true, e)
	job := f.job(2 * time.Second)
	job.Request.Prefix = "ab"
	job.Request.PrefixTokens = 40
	if _, err := f.proxier.Serve(t.Context(), httptest.NewRecorder(), job); err != nil {
		t.Fatal(err)
	}
	if got, want := f.tickets.asks[0].GetPrefixTokens(), int64(40); got != want {
		t.Errorf("length of the beginning: got %d tokens, want %d", got, want)
	}
	if f.tickets.asks[0].GetPrefix() == 0 {
		t.Error("beginning: got none")
	}
}
