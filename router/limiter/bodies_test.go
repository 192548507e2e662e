package limiter_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/reporter"
)

// newBodies returns a Bodies with the given limit in bytes, and its log.
func newBodies(limit int64) (*limiter.Bodies, *logBuffer) {
	out := &logBuffer{}
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	x := limiter.NewBodies()
	x.Limit = limit
	x.Reporter = reporter.New(nil)
	x.Log = log
	return x, out
}

// upload is a body that the test sends piece by piece.
type upload struct {
	writer *io.PipeWriter
	data   []byte
	err    error
	done   chan struct{}
}

// startUpload reads a new body of at most largest bytes with x.
func startUpload(group *sync.WaitGroup, x *limiter.Bodies, largest int64) *upload {
	r, w := io.Pipe()
	u := &upload{
		writer: w,
		done:   make(chan struct{}),
	}
	group.Go(func() {
		defer close(u.done)
		u.data, u.err = x.Read(r, largest, func() { w.CloseWithError(io.ErrClosedPipe) })
		r.Close()
	})
	return u
}

// send sends n bytes and waits until they are read and recorded.
func (u *upload) send(t *testing.T, n int) {
	t.Helper()
	if _, err := u.writer.Write(bytes.Repeat([]byte{'x'}, n)); err != nil {
		t.Fatal(err)
	}
	// The reader has recorded the bytes when it reads again, unless the body was dropped.
	_, _ = u.writer.Write(nil)
}

// end ends the body and requires it to have size bytes.
func (u *upload) end(t *testing.T, size int) {
	t.Helper()
	u.writer.Close()
	<-u.done
	if len(u.data) != size || u.err != nil {
		t.Errorf("got %d bytes, error %v, want %d", len(u.data), u.err, size)
	}
}

// requireDropped requires that the body was dropped and that its request has not run.
func (u *upload) requireDropped(t *testing.T) {
	t.Helper()
	select {
	case <-u.done:
	case <-time.After(testTimeout):
		t.Fatal("the body is still read, want it to be dropped")
	}
	e := classifier.Classify(u.err)
	if !errors.Is(u.err, limiter.ErrBodyDropped) || e.Kind != classifier.Overloaded || classifier.ResponseOf(e.Kind).Ran != classifier.RanNo {
		t.Errorf("got error %v, want one of kind overloaded that has not run", u.err)
	}
}

const kilobyte = 1 << 10

// TestMostSilentBodyIsDropped guards against dropping a body that still arrives in favour of one
// whose caller has stopped.
func TestMostSilentBodyIsDropped(t *testing.T) {
	var group sync.WaitGroup
	defer group.Wait()
	x, log := newBodies(512 * kilobyte)
	const largest = 200 * kilobyte
	stopped := startUpload(&group, x, largest)
	stopped.send(t, 199*kilobyte)
	time.Sleep(5 * time.Millisecond)
	small := startUpload(&group, x, largest)
	small.send(t, 1)
	time.Sleep(5 * time.Millisecond)
	var others []*upload
	for range 2 {
		u := startUpload(&group, x, largest)
		u.send(t, 199*kilobyte)
		others = append(others, u)
	}
	stopped.requireDropped(t)
	for _, u := range others {
		u.send(t, kilobyte)
		u.end(t, largest)
	}
	small.end(t, 1)
	if got := x.Reserved(); got != 0 {
		t.Errorf("got %d bytes reserved after all bodies ended, want 0", got)
	}
	if got, want := log.String(), "request body dropped; the memory for bodies is full"; strings.Count(got, want) != 1 {
		t.Errorf("got log %s, want one line %q", got, want)
	}
	var metrics strings.Builder
	x.Reporter.Write(&metrics)
	if want := `heatherhold_bodies_dropped_total{reason="memory"} 1`; !strings.Contains(metrics.String(), want) {
		t.Errorf("got metrics without %s", want)
	}
}

// TestLargestOfEquallySilentBodiesIsDropped guards against dropping many small bodies, each of which
// frees little memory.
func TestLargestOfEquallySilentBodiesIsDropped(t *testing.T) {
	x, _ := newBodies(200 * kilobyte)
	var group sync.WaitGroup
	defer group.Wait()
	// The sizes are sent without a pause, but the order of times isn't sure on a busy machine. So
	// the large one is sent first: it is dropped whether or not its time counts as the same.
	large := startUpload(&group, x, kilobyte)
	large.send(t, 130*kilobyte)
	small := startUpload(&group, x, kilobyte)
	small.send(t, 60*kilobyte)
	large.requireDropped(t)
	small.end(t, 60*kilobyte)
}

// TestLargestBodyIsAlwaysRead guards against a limit that a body within the limits of one request
// meets when there is no other.
func TestLargestBodyIsAlwaysRead(t *testing.T) {
	for _, size := range []int{0, 1, 2*kilobyte - 1, 2 * kilobyte, 2*kilobyte + 1, 100 * kilobyte, 4 << 20} {
		x, _ := newBodies(1)
		want := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
		for range 2 {
			got, err := x.Read(bytes.NewReader(want), int64(size), func() {})
			if !bytes.Equal(got, want) || err != nil {
				t.Errorf("size %d: got %d bytes, error %v, want the whole body", size, len(got), err)
			}
		}
	}
}

// TestBodyWithoutLimitIsDropped guards against a body without end where no limit of one is declared.
func TestBodyWithoutLimitIsDropped(t *testing.T) {
	x, _ := newBodies(kilobyte)
	if _, err := x.Read(endlessReader{}, 0, func() {}); !errors.Is(err, limiter.ErrBodyDropped) {
		t.Errorf("got error %v, want %v", err, limiter.ErrBodyDropped)
	}
}

// endlessReader is a body without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	return len(p), nil
}

// TestBodyWithoutBytesTakesNoMemory guards against callers whose bodies are dropped before they have
// sent any of them, which would free nothing.
func TestBodyWithoutBytesTakesNoMemory(t *testing.T) {
	var group sync.WaitGroup
	defer group.Wait()
	x, _ := newBodies(kilobyte)
	waiting := startUpload(&group, x, kilobyte)
	for range 100 {
		u := startUpload(&group, x, kilobyte)
		u.send(t, kilobyte)
		defer u.writer.Close()
	}
	if got, want := x.Reserved(), int64(2*(kilobyte+32*kilobyte)); got > want {
		t.Errorf("got %d bytes reserved, want at most %d", got, want)
	}
	waiting.send(t, kilobyte)
	waiting.end(t, kilobyte)
}

// TestManyBodiesAtOnce guards against a body that is returned although it was dropped, or that is
// returned with other bytes, and against memory that stays reserved.
func TestManyBodiesAtOnce(t *testing.T) {
	x, _ := newBodies(64 * kilobyte)
	want := bytes.Repeat([]byte("0123456"), 40*kilobyte/7)
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 100 {
				got, err := x.Read(slowReader{r: bytes.NewReader(want)}, int64(len(want)), func() {})
				if err == nil && !bytes.Equal(got, want) {
					t.Errorf("got %d other bytes, want %d", len(got), len(want))
				}
				if err != nil && !errors.Is(err, limiter.ErrBodyDropped) {
					t.Errorf("got error %v, want %v", err, limiter.ErrBodyDropped)
				}
			}
		})
	}
	group.Wait()
	if got := x.Reserved(); got != 0 {
		t.Errorf("got %d bytes reserved after all bodies ended, want 0", got)
	}
}

// slowReader reads at most 1,000 bytes at once.
type slowReader struct {
	r io.Reader
}

func (r slowReader) Read(p []byte) (int, error) {
	return r.r.Read(p[:min(len(p), 1000)])
}

// TestCompleteBodiesFillMemory guards against holding the complete bodies of requests in service without a limit.
// A small one is always held, and the largest that is allowed if no other is.
func TestCompleteBodiesFillMemory(t *testing.T) {
	const (
		limit   = 1 << 20
		largest = 512 << 10
	)
	x, _ := newBodies(limit)
	var releases []func()
	for {
		release, err := x.Hold(largest, largest)
		if err != nil {
			if got := classifier.Classify(err).Kind; got != classifier.Overloaded {
				t.Errorf("got kind %s, want overloaded", got)
			}
			break
		}
		releases = append(releases, release)
		if len(releases) > 10 {
			t.Fatal("got more than 10 bodies held, want a limit")
		}
	}
	if got, want := x.Held(), int64(2*limit); got > want || got < limit {
		t.Errorf("got %d bytes held, want %d to %d", got, limit, want)
	}
	if err := x.CheckRoom(largest, largest); err == nil {
		t.Error("got room for an announced body, want none")
	}
	if err := x.CheckRoom(-1, largest); err != nil {
		t.Errorf("got %v for a body of unknown length, want it read", err)
	}
	small, err := x.Hold(800, largest)
	if err != nil {
		t.Fatalf("got %v for a small body, want it held", err)
	}
	small()
	releases[0]()
	if _, err := x.Hold(largest, largest); err != nil {
		t.Errorf("got %v after another one was released, want it held", err)
	}
	tight, _ := newBodies(1 << 10)
	if _, err := tight.Hold(largest, largest); err != nil {
		t.Errorf("got %v for the largest body alone, want it held", err)
	}
}
