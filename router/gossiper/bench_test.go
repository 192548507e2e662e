package gossiper_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/authenticator"
	"heatherhold.dev/router/gossiper"
)

func newMembers(n int) []*messenger.Member {
	var members []*messenger.Member
	for i := range n {
		members = append(members, &messenger.Member{
			Instance:    fmt.Sprintf("router-%04d", i),
			Address:     fmt.Sprintf("10.0.%d.%d:7003", i/250, i%250),
			Site:        fmt.Sprintf("site-%d", i%12),
			Incarnation: 1_796_357_632_000_000_000,
		})
	}
	return members
}

func newState(n int) *gossiper.State {
	members := newMembers(n)
	s := &gossiper.State{
		Self: members[0],
		Term: 3 * time.Second,
	}
	s.UpdateListed(time.Unix(100, 0), members)
	return s
}

// BenchmarkExchange measures the processor time and the bytes of one exchange
// between two instances, both ends included. Each knows n members, and there are
// no changes to send.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{10, 100, 400, 1700} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			s, peer := newState(n), newState(n)
			now := time.Unix(200, 0)
			size := 0
			for b.Loop() {
				request, err := proto.Marshal(s.Request(now, 0))
				if err != nil {
					b.Fatal(err)
				}
				var received messenger.ExchangeRequest
				if err := proto.Unmarshal(request, &received); err != nil {
					b.Fatal(err)
				}
				reply, err := proto.Marshal(peer.HandleRequest(now, &received))
				if err != nil {
					b.Fatal(err)
				}
				var receivedReply messenger.ExchangeReply
				if err := proto.Unmarshal(reply, &receivedReply); err != nil {
					b.Fatal(err)
				}
				s.HandleReply(now, now, &receivedReply)
				s.Live()
				size = len(request) + len(reply)
			}
			b.ReportMetric(float64(size), "bytes/exchange")
		})
	}
}

func newCustomers(n int) declarer.Change {
	change := make(declarer.Change)
	for i := range n {
		key := declarer.Key(fmt.Sprintf("base/customer/customer-%05d", i))
		change[key] = fmt.Appendf(nil, "tier = \"paying\"\nweight = 1.0\n[caller.desk]\nkey-sha256 = \"%064x\"\nrank = \"urgent\"\n", i)
	}
	return change
}

// BenchmarkApply measures applying a change of one section with n customers
// declared, parsing that section again and building the index of callers.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10, 1000, 4000, 11000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			s := newState(10)
			s.Apply([]*messenger.Change{{
				Revision: 1,
				Entries:  gossiper.EntriesOf(newCustomers(n)),
			}})
			change := &messenger.Change{Entries: gossiper.EntriesOf(newCustomers(1))}
			d, err := s.Document().At("gijon")
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				change.Revision = uint64(s.Revision()) + 1
				s.Apply([]*messenger.Change{change})
				d, err = s.Document().Refresh(d, "gijon", []declarer.Key{"base/customer/customer-00000"})
				if err != nil {
					b.Fatal(err)
				}
				authenticator.New(d, "")
			}
			b.ReportMetric(float64(proto.Size(change)), "bytes/change")
		})
	}
}

// BenchmarkMemory measures the memory of one instance's state.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 4000, 11000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s := newState(1700)
				s.Apply([]*messenger.Change{{
					Revision: 1,
					Entries:  gossiper.EntriesOf(newCustomers(n)),
				}})
				d, err := s.Document().At("gijon")
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB")
				runtime.KeepAlive(s)
				runtime.KeepAlive(d)
			}
		})
	}
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
