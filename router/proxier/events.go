package proxier

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// eventLimit limits the size of one event of a stream, in bytes.
const eventLimit = 64 << 10

// errTruncated reports a stream that ended in the middle of an event.
var errTruncated = errors.New("the stream ended in the middle of an event")

// event is one complete event, byte for byte as received.
type event struct {
	// id is 0 for an event without one.
	id    int64
	bytes []byte
}

// splitter splits a stream into complete events.
type splitter struct {
	reader *bufio.Reader
	buffer []byte
}

// idField is the prefix of the line that holds an event's id.
var idField = []byte("id:")

// next returns the next event; its bytes are valid until the next call. It
// returns io.EOF if the stream ended after a complete event.
func (s *splitter) next() (event, error) {
	s.buffer = s.buffer[:0]
	e := event{}
	for {
		start := len(s.buffer)
		err := s.line()
		if errors.Is(err, io.EOF) && len(s.buffer) > 0 {
			return e, errTruncated
		}
		if err != nil {
			return e, err
		}
		line := bytes.TrimRight(s.buffer[start:], "\r\n")
		if len(line) == 0 {
			e.bytes = s.buffer
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			e.id, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return e, errors.New("an event's id is not an integer")
			}
		}
	}
}

// line appends one line, including its line ending, to the buffer.
func (s *splitter) line() error {
	for {
		fragment, err := s.reader.ReadSlice('\n')
		s.buffer = append(s.buffer, fragment...)
		if len(s.buffer) > eventLimit {
			return errors.New("an event is too large")
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
