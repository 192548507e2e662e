package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/standin/generator"
)

// draftResult is the outcome of one request for a draft.
type draftResult struct {
	status int
	text   string
	// complete is set if the stream ended with the event [DONE].
	complete bool
	body     classifier.Body
	err      error
}

// streamDraft requests a draft from a router as a stream of tokens.
func streamDraft(ctx context.Context, address, key, prompt string, limit int) draftResult {
	body, err := json.Marshal(map[string]any{
		"model":      "drafts",
		"prompt":     prompt,
		"stream":     true,
		"max_tokens": limit,
	})
	if err != nil {
		return draftResult{err: err}
	}
	res, err := post(ctx, address, key, "/v1/completions", body, nil)
	if err != nil {
		return draftResult{err: err}
	}
	defer res.Body.Close()
	d := draftResult{status: res.StatusCode}
	if res.StatusCode != http.StatusOK {
		d.err = json.NewDecoder(res.Body).Decode(&d.body)
		return d
	}
	data, err := io.ReadAll(res.Body)
	d.err = err
	d.parseEvents(string(data))
	return d
}

// parseEvents sets the fields of d from the events of a stream.
func (d *draftResult) parseEvents(events string) {
	for _, line := range strings.Split(events, "\n") {
		event, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if event == "[DONE]" {
			d.complete = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			classifier.Body
		}
		if err := json.Unmarshal([]byte(event), &chunk); err != nil {
			d.err = err
			return
		}
		if len(chunk.Choices) > 0 {
			d.text += chunk.Choices[0].Text
		}
		if chunk.Error.Kind != "" {
			d.body = chunk.Body
		}
	}
}

func post(ctx context.Context, address, key, path string, body []byte, header map[string]string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	time.AfterFunc(2*waitLimit, cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return http.DefaultClient.Do(req)
}

// expectedText returns the complete response to a prompt.
func expectedText(prompt, version string, limit int) string {
	return strings.Join(generator.ExpectedTokens(prompt, version, layers, int64(limit)), "")
}

// checkComplete fails the test unless d holds the complete response to prompt.
func checkComplete(t testing.TB, d draftResult, prompt string, limit int) {
	t.Helper()
	if d.err != nil || d.status != http.StatusOK || !d.complete {
		t.Errorf("draft of %q: got status %d, complete %t, error %v, body %+v; want the complete response", prompt, d.status, d.complete, d.err, d.body)
		return
	}
	if want := expectedText(prompt, "v1", limit); d.text != want {
		t.Errorf("draft of %q: got %q, want %q", prompt, d.text, want)
	}
}
