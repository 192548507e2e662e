// Package reader reads the routers' JSON logs line by line.
package reader

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Line is one log line.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Level    string         `json:"level"`
	Event    string         `json:"event"`
	Fields   map[string]any `json:"fields,omitempty"`
}

// lineLimit is the largest length of a log line, in bytes. It bounds the memory for a file
// that is no log.
const lineLimit = 1 << 20

// Each calls do with every log line of r and returns the number of lines that it skipped
// because they are not log lines or too long. Text before a line's first brace, such as a
// log collector's prefix, is ignored.
func Each(r io.Reader, do func(Line)) (skipped int, err error) {
	in := bufio.NewReaderSize(r, lineLimit)
	for {
		text, whole, err := next(in)
		if l, ok := parse(text); ok && whole {
			do(l)
		} else if !whole || len(text) > 0 {
			skipped++
		}
		switch {
		case errors.Is(err, io.EOF):
			return skipped, nil
		case err != nil:
			return skipped, errors.Wrap(err, "read the log")
		}
	}
}

// next returns the next line, or the start of one that exceeds lineLimit; whole is false then.
// The text is valid until the next call.
func next(in *bufio.Reader) (text []byte, whole bool, err error) {
	text, err = in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return text, true, err
	}
	for errors.Is(err, bufio.ErrBufferFull) {
		text, err = in.ReadSlice('\n')
	}
	return text, false, err
}

// parse parses one line in the router's JSON log format.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	timestamp, err := time.Parse(time.RFC3339Nano, l.Text("time"))
	if err != nil {
		return Line{}, false
	}
	l.Time = timestamp
	l.Instance = l.Text("instance")
	l.Level = l.Text("level")
	l.Event = l.Text("msg")
	for _, name := range []string{"time", "instance", "level", "msg"} {
		delete(fields, name)
	}
	return l, l.Event != ""
}

// Text returns the value of a text field; empty if there is no such field.
func (l *Line) Text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Number returns the value of a numeric field, and whether there is one.
func (l *Line) Number(field string) (float64, bool) {
	n, ok := l.Fields[field].(float64)
	return n, ok
}
