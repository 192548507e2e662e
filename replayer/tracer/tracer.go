// Package tracer generates, writes and reads request traces. A trace is plain
// text, one request a line:
//
//	at-ms customer tier rank prompt-tokens output-tokens prefix
//
// Lines are sorted by at-ms, the time of arrival in milliseconds from the start.
// Prompts with the same prefix number start with the same text; 0 means that the
// prompt shares no start with others.
package tracer

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"heatherhold.dev/core/identifier"
)

// Request is one line of a trace.
type Request struct {
	At       time.Duration
	Customer identifier.Customer
	Tier     identifier.Tier
	Rank     identifier.Rank
	Prompt   identifier.Tokens
	Output   identifier.Tokens
	Prefix   uint64
}

// Flow is the requests of one customer in one rank, which arrive as a Poisson
// process between From and To.
type Flow struct {
	Customer identifier.Customer
	Tier     identifier.Tier
	Rank     identifier.Rank
	// Rate is the mean number of requests per second.
	Rate float64
	From time.Duration
	To   time.Duration
	// MeanOutput is the mean length of a response in tokens, before lengths are
	// limited to maxTokens.
	MeanOutput float64
	// Prefixes is the number of prompt prefixes that the flow chooses from at
	// random, with a Zipf distribution; 0 means that no prompts share a start. All
	// flows number their prefixes from 1, and equal numbers are the same prefix.
	Prefixes int
}

const (
	meanPrompt   = 200.0 // tokens
	maxTokens    = 1000  // tokens
	zipfExponent = 1.2
)

// Generate returns the requests of all flows, sorted by time. The result depends
// only on seed and flows.
func Generate(seed uint64, flows []Flow) []Request {
	var out []Request
	for i, f := range flows {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		out = append(out, f.generate(random)...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

func (f Flow) generate(random *rand.Rand) []Request {
	var zipf *rand.Zipf
	if f.Prefixes > 0 {
		zipf = rand.NewZipf(random, zipfExponent, 1, uint64(f.Prefixes-1))
	}
	var out []Request
	at := f.From.Seconds()
	for {
		at += random.ExpFloat64() / f.Rate
		if at >= f.To.Seconds() {
			return out
		}
		r := Request{
			At:       time.Duration(at * float64(time.Second)).Truncate(time.Millisecond),
			Customer: f.Customer,
			Tier:     f.Tier,
			Rank:     f.Rank,
			Prompt:   randomLength(random, meanPrompt),
			Output:   randomLength(random, f.MeanOutput),
		}
		if zipf != nil {
			r.Prefix = zipf.Uint64() + 1
		}
		out = append(out, r)
	}
}

// randomLength returns a random length from a log-normal distribution, which has a
// long tail, with the given mean. The length is limited to the range from 1 to
// maxTokens.
func randomLength(random *rand.Rand, mean float64) identifier.Tokens {
	const sigma = 0.8
	n := mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
	return identifier.Tokens(math.Min(math.Max(n, 1), maxTokens))
}

// Write writes a trace in the format of the package comment.
func Write(w io.Writer, trace []Request) error {
	b := bufio.NewWriter(w)
	for _, r := range trace {
		_, err := fmt.Fprintln(b, r.At.Milliseconds(), r.Customer, r.Tier, r.Rank, r.Prompt, r.Output, r.Prefix)
		if err != nil {
			return err
		}
	}
	return b.Flush()
}

// Read reads a trace. The error for an invalid line contains the line number.
func Read(r io.Reader) ([]Request, error) {
	var out []Request
	scanner := bufio.NewScanner(r)
	for n := 1; scanner.Scan(); n++ {
		var request Request
		var ms int64
		_, err := fmt.Sscan(scanner.Text(), &ms, &request.Customer, &request.Tier, &request.Rank, &request.Prompt, &request.Output, &request.Prefix)
		if err != nil {
			return nil, fmt.Errorf("line %d: want at-ms customer tier rank prompt-tokens output-tokens prefix: %w", n, err)
		}
		request.At = time.Duration(ms) * time.Millisecond
		out = append(out, request)
	}
	return out, scanner.Err()
}
