package relayer

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// eventLimit bounds one event of a stream, in bytes.
const eventLimit = 64 << 10

// errCut says that a stream ended in the middle of an event.
var errCut = errors.New("the stream ended in the middle of an event")

// event is one whole event as it came.
type event struct {
	// id is 0 for an event that has none.
	id    int64
	bytes []byte
}

// splitter takes a stream apart into whole events.
type splitter struct {
	reader *bufio.Reader
	buffer []byte
}

// idField is how the line with an event's id begins.
var idField = []byte("id:")

// next returns the next event; its bytes are good until the next call. io.EOF
// is the end of a stream that ended after a whole event.
func (s *splitter) next() (event, error) {
	s.buffer = s.buffer[:0]
	e := event{}
	for {
		start := len(s.buffer)
		err := s.line()
		if errors.Is(err, io.EOF) && len(s.buffer) > 0 {
			return e, errCut
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
				return e, errors.New("an event's id is no whole number")
			}
		}
	}
}

// line appends one line, with its end, to the buffer.
func (s *splitter) line() error {
	for {
		part, err := s.reader.ReadSlice('\n')
		s.buffer = append(s.buffer, part...)
		if len(s.buffer) > eventLimit {
			return errors.New("an event is too large")
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
