package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
)

// resetDelay is how long after the end of a connection the error of a write may follow.
const resetDelay = 50 * time.Millisecond

// writeResult receives how a request was written; it has room for one result.
type writeResult chan httptrace.WroteRequestInfo

// trace returns a context with which the client reports how a request was written. Of a request that it
// sends again over another connection, the last result counts.
func (w writeResult) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case <-w:
			default:
			}
			w <- info
		},
	})
}

// resetError returns the error with which the writing of the request has failed, if the body of the response
// ends with its connection. The system reports a reset once: if a write got it, a read finds an ordinary end.
// The client closes the connection at that end, which fails a write that is pending.
func (w writeResult) resetError(res *http.Response) error {
	if res.ContentLength >= 0 || len(res.TransferEncoding) > 0 {
		return nil
	}
	timer := time.NewTimer(resetDelay)
	defer timer.Stop()
	select {
	case info := <-w:
		if errors.Is(info.Err, net.ErrClosed) {
			return nil
		}
		return info.Err
	case <-timer.C:
		return nil
	}
}
