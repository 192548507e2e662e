package prefixer

const (
	// rateWindow is how many of the latest requests the share of a beginning refers to.
	rateWindow = 1024
	// minRequests is how many requests must be known before a beginning counts as frequent.
	minRequests = 32
)

// requestRate counts the beginnings of the latest requests.
type requestRate struct {
	// latest is a ring; next is where the next one goes once it is full.
	latest []Beginning
	next   int
	counts map[Beginning]int
}

func newRequestRate() requestRate {
	return requestRate{counts: make(map[Beginning]int)}
}

// add counts a request.
func (q *requestRate) add(b Beginning) {
	q.counts[b]++
	if len(q.latest) < rateWindow {
		q.latest = append(q.latest, b)
		return
	}
	oldest := q.latest[q.next]
	q.counts[oldest]--
	if q.counts[oldest] == 0 {
		delete(q.counts, oldest)
	}
	q.latest[q.next] = b
	q.next = (q.next + 1) % rateWindow
}

// share returns the share of b among the latest requests; 0 if too few are known.
func (q *requestRate) share(b Beginning) float64 {
	if len(q.latest) < minRequests {
		return 0
	}
	return float64(q.counts[b]) / float64(len(q.latest))
}
