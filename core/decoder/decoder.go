// Package decoder decodes TOML strictly: an unknown key, a wrong type or a wrong
// unit is an error that names file, line and key.
package decoder

import (
	"bytes"
	stderrors "errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is a fault in a TOML file.
type Error struct {
	File   string
	Line   int
	Key    string
	Detail string
}

// Error returns the fault as "file:line: key: detail".
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Detail)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Detail)
}

// Strict decodes data into v, which must be a pointer, and refuses keys that v
// does not define. Errors report file as the file name.
func Strict(file string, data []byte, v any) error {
	err := decodeStrict(data, v)
	if err == nil {
		return nil
	}
	return locate(file, data, v, err)[0]
}

// Faults decodes like Strict and returns every unknown key, or else the first other fault.
func Faults(file string, data []byte, v any) []*Error {
	err := decodeStrict(data, v)
	if err == nil {
		return nil
	}
	return locate(file, data, v, err)
}

func decodeStrict(data []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// locate returns at least one fault for an error of decodeStrict.
func locate(file string, data []byte, v any, err error) []*Error {
	var strictErr *toml.StrictMissingError
	if stderrors.As(err, &strictErr) && len(strictErr.Errors) > 0 {
		faults := make([]*Error, 0, len(strictErr.Errors))
		for i := range strictErr.Errors {
			faults = append(faults, errorAt(file, &strictErr.Errors[i], "unknown key"))
		}
		return faults
	}
	var decodeErr *toml.DecodeError
	if stderrors.As(err, &decodeErr) {
		return []*Error{errorAt(file, decodeErr, strings.TrimPrefix(decodeErr.Error(), "toml: "))}
	}
	return []*Error{searchLine(file, data, v, err)}
}

// searchLine locates an error that has no position: it decodes the start of the
// file up to and including each key's line, and returns the first line at which
// the same error occurs.
func searchLine(file string, data []byte, v any, err error) *Error {
	result := &Error{
		File:   file,
		Line:   1,
		Detail: err.Error(),
	}
	rawLines := bytes.SplitAfter(data, []byte("\n"))
	lines := Lines(data)
	best := len(rawLines) + 1
	for key, line := range lines {
		if line >= best {
			continue
		}
		head := bytes.Join(rawLines[:line], nil)
		headErr := decodeStrict(head, reflect.New(reflect.TypeOf(v).Elem()).Interface())
		if headErr != nil && headErr.Error() == err.Error() {
			best = line
			result.Line, result.Key = line, key
		}
	}
	return result
}

func errorAt(file string, err *toml.DecodeError, detail string) *Error {
	line, _ := err.Position()
	return &Error{
		File:   file,
		Line:   line,
		Key:    strings.Join(err.Key(), "."),
		Detail: detail,
	}
}

// Lines returns the line number of every key and table in data, by dotted path.
func Lines(data []byte) map[string]int {
	lines := make(map[string]int)
	var p unstable.Parser
	p.Reset(data)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		path, line := keyOf(&p, e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = path
			lines[path] = line
		case unstable.KeyValue:
			lines[join(prefix, path)] = line
		}
	}
	return lines
}

func keyOf(p *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := e.Key(); it.Next(); {
		n := it.Node()
		parts = append(parts, string(n.Data))
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
