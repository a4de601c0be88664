package coordination

import (
	"fmt"
	"testing"

	"github.com/mailru/easyjson"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// These benchmarks measure the cost of a call at the leader of a partition, without disk and network. docs/design/coordination.md lists the
// results.

// benchmarkCalls makes one call at a time and commits its changes at once. It reports how many changes and bytes a call proposes on average.
func benchmarkCalls(b *testing.B, prepare func(h *harness), call func(h *harness, number int)) {
	RegisterTestingT(b)
	h := newHarness()
	prepare(h)
	changes, bytes := 0, 0
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		call(h, number)
		for _, commit := range h.leadership.pending {
			changes++
			for _, op := range commit.ops {
				bytes += len(op.Name) + len(op.Value)
			}
		}
		h.leadership.commitOldest(len(h.leadership.pending))
		h.answers = h.answers[:0]
	}
	b.ReportMetric(float64(changes)/float64(b.N), "changes/op")
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
}

func noPreparation(*harness) {}

// lockCall returns a call for one of 64 locks and its body.
func lockCall(verb wire.Verb, number int, body *wire.LockCall) (wire.ClientCall, easyjson.Marshaler) {
	return wire.ClientCall{Verb: verb, ID: fmt.Sprintf("lock-%d", number%64)}, body
}

func BenchmarkAcquire(b *testing.B) {
	benchmarkCalls(b, noPreparation, func(h *harness, number int) {
		call, body := lockCall(wire.VerbAcquire, number, &wire.LockCall{Holder: "a", HoldMs: 3000})
		h.send(call, body)
	})
}

func BenchmarkRenew(b *testing.B) {
	acquire := func(h *harness) {
		h.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: "lock-0"}, &wire.LockCall{Holder: "a", HoldMs: 3000})
	}
	benchmarkCalls(b, acquire, func(h *harness, _ int) {
		h.send(wire.ClientCall{Verb: wire.VerbRenew, ID: "lock-0"}, &wire.LockCall{Holder: "a", Fence: 1, HoldMs: 3000})
	})
}

func BenchmarkNumber(b *testing.B) {
	benchmarkCalls(b, noPreparation, func(h *harness, _ int) { h.send(wire.ClientCall{Verb: wire.VerbTakeNumber, ID: "n"}, nil) })
}

func BenchmarkGet(b *testing.B) {
	put := func(h *harness) { h.send(wire.ClientCall{Verb: wire.VerbPut, ID: "g.a"}, &wire.PutCall{Value: "v"}) }
	benchmarkCalls(b, put, func(h *harness, _ int) { h.send(wire.ClientCall{Verb: wire.VerbGet, ID: "g.a"}, nil) })
}

// BenchmarkPut puts into a new group twice per operation, with different numbers of watches that wait for the second put.
func BenchmarkPut(b *testing.B) {
	for _, watches := range []int{0, 1, 20, 200} {
		b.Run(fmt.Sprintf("watches-%d", watches), func(b *testing.B) {
			benchmarkCalls(b, noPreparation, func(h *harness, number int) {
				name := fmt.Sprintf("g%d.a", number)
				put := func(value string, expected uint64) {
					h.send(wire.ClientCall{Verb: wire.VerbPut, ID: name}, &wire.PutCall{Value: value, Expected: expected})
				}
				put("5c0e7a21d94b36f8", 0)
				h.leadership.commitOldest(len(h.leadership.pending))
				for range watches {
					h.send(wire.ClientCall{Verb: wire.VerbWatch, ID: GroupOf(name), Base: 1, RemainingMs: 1000}, nil)
				}
				put("6c0e7a21d94b36f8", 1)
				if number%1000 == 999 {
					h.clock.Advance(2 * testHistory)
					h.part.Tick()
				}
			})
		})
	}
}
