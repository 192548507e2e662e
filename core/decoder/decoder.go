// Package decoder reads TOML strictly: an unknown key, a wrong type or a wrong
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

// Strict reads data into v and refuses what v does not name.
func Strict(file string, data []byte, v any) error {
	err := strict(data, v)
	if err == nil {
		return nil
	}
	return locate(file, data, v, err)
}

func strict(data []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

func locate(file string, data []byte, v any, err error) error {
	var missing *toml.StrictMissingError
	if stderrors.As(err, &missing) && len(missing.Errors) > 0 {
		return at(file, &missing.Errors[0], "unknown key")
	}
	var decode *toml.DecodeError
	if stderrors.As(err, &decode) {
		return at(file, decode, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return search(file, data, v, err)
}

// search finds the place of an error that comes without one: the end of the
// shortest part of the file, cut after a key's line, that has the same error.
func search(file string, data []byte, v any, err error) error {
	found := &Error{
		File:   file,
		Line:   1,
		Detail: err.Error(),
	}
	starts := bytes.SplitAfter(data, []byte("\n"))
	lines := Lines(data)
	best := len(starts) + 1
	for key, line := range lines {
		if line >= best {
			continue
		}
		part := bytes.Join(starts[:line], nil)
		again := strict(part, reflect.New(reflect.TypeOf(v).Elem()).Interface())
		if again != nil && again.Error() == err.Error() {
			best = line
			found.Line, found.Key = line, key
		}
	}
	return found
}

func at(file string, err *toml.DecodeError, detail string) error {
	line, _ := err.Position()
	return &Error{
		File:   file,
		Line:   line,
		Key:    strings.Join(err.Key(), "."),
		Detail: detail,
	}
}

// Lines returns the line of every key and table in data by its dotted path.
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
