package controlkeys

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/replication"
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
)

type nameOnly struct{ net.Listener }

func (nameOnly) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7000} }

// straight carries calls into a mux, without a network.
type straight struct{ mux *http.ServeMux }

func (s straight) RoundTrip(request *http.Request) (*http.Response, error) {
	answer := httptest.NewRecorder()
	s.mux.ServeHTTP(answer, request)
	return answer.Result(), nil
}

func newRing(store *storage.Store, isMakeshift bool) (*Ring, *peerapi.Caller) {
	clock, mux := clock.NewFake(1000), http.NewServeMux()
	caller := peerapi.NewCaller(&http.Client{Transport: straight{mux}})
	config := Config{Clock: clock, Log: logging.Silent(), Store: store, IsMakeshift: isMakeshift, MachineLosses: 1, Name: "one", Caller: caller,
		Node: membership.NewNode(wire.Member{Name: "one", Role: "steward"}, nameOnly{}, nil, nil, caller, clock, logging.Silent()),
		Book: configcache.New(caller, clock, logging.Silent(), func(*configcache.Snapshot) {})}
	if store != nil {
		var err error
		config.Replicas, err = replication.NewReplicas(mailbox.New(64), store, clock, time.Second)
		Expect(err).NotTo(HaveOccurred())
	}
	ring := New(config)
	ring.ctx = context.Background()
	ring.Handle(mux)
	return ring, caller
}

func ask[Ask, Tell any](caller *peerapi.Caller, procedure string, call Ask) (*Tell, error) {
	return peerapi.Call[Ask, Tell](caller, context.Background(), "10.0.0.1:7000", procedure, time.Second, &call)
}

func openStore() *storage.Store {
	store, err := storage.Open(GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(store.Close)
	return store
}

var _ = Describe("a steward without a disk", func() {
	It("names none, votes on nothing, and sends callers elsewhere", func() {
		ring, caller := newRing(nil, false)
		ring.birth = []string{"a", "b", "c"}
		ring.want()
		Expect(ring.holders).To(BeEmpty())
		identity, err := ask[wire.IdentifyCall, wire.IdentifyAnswer](caller, peerapi.ProcedureIdentify, wire.IdentifyCall{})
		Expect(err).NotTo(HaveOccurred())
		Expect(*identity).To(Equal(wire.IdentifyAnswer{}))
		_, err = ask[wire.PromiseCall, wire.PromiseAnswer](caller, peerapi.ProcedurePromise, wire.PromiseCall{Key: "plan", Epoch: 1})
		Expect(err).To(HaveOccurred())
		_, err = ask[wire.AppendCall, wire.AppendAnswer](caller, peerapi.ProcedureAppend, wire.AppendCall{Key: "plan", Epoch: 1})
		Expect(err).To(HaveOccurred())
		told, err := ask[wire.ClientCall, wire.ClientAnswer](caller, peerapi.ProcedureClient, wire.ClientCall{Key: "plan"})
		Expect(err).NotTo(HaveOccurred())
		Expect(told.Elsewhere).To(BeTrue())
		exchanged, err := ask[wire.ExchangeCall, wire.ExchangeAnswer](caller, peerapi.ProcedureExchange, wire.ExchangeCall{Key: "pool/s"})
		Expect(err).NotTo(HaveOccurred())
		Expect(exchanged.Elsewhere).To(BeTrue())
		keys, jobs, executors := ring.Beliefs(context.Background())
		Expect(keys).To(BeNil())
		Expect(jobs).To(BeNil())
		Expect(executors).To(BeNil())
	})

	It("ends its part when its context is done", func() {
		ring, _ := newRing(nil, false)
		ctx, end := context.WithCancel(context.Background())
		end()
		Expect(ring.Run(ctx)).To(Succeed())
	})

	It("takes part with a makeshift disk only if it is one of the first voters", func() {
		store := openStore()
		ring, caller := newRing(store, true)
		identity, err := ask[wire.IdentifyCall, wire.IdentifyAnswer](caller, peerapi.ProcedureIdentify, wire.IdentifyCall{})
		Expect(err).NotTo(HaveOccurred())
		Expect(identity.Disk).To(BeEmpty())
		Expect(identity.Makeshift).To(Equal(store.Disk()))
		ring.birth = []string{"a", "b", "c"}
		ring.want()
		Expect(ring.holders).To(BeEmpty())
		ring.birth = []string{"a", "b", store.Disk()}
		ring.want()
		Expect(ring.holders).To(HaveKey(configleader.Key))
	})
})

var _ = Describe("the first voters", func() {
	It("are the seeds' lasting disks, each once", func() {
		Expect(firstVoters(map[string]wire.IdentifyAnswer{"x": {Disk: "b"}, "y": {Disk: "a"}, "z": {Disk: "a"}})).To(Equal([]string{"a", "b"}))
		Expect(firstVoters(map[string]wire.IdentifyAnswer{"x": {Disk: "b"}, "y": {}, "z": {Makeshift: "m"}})).To(Equal([]string{"b"}))
	})

	It("are makeshift ones where no seed has another", func() {
		Expect(firstVoters(map[string]wire.IdentifyAnswer{"x": {Makeshift: "n"}, "y": {}, "z": {Makeshift: "m"}})).To(Equal([]string{"m", "n"}))
	})
})

var _ = Describe("the disks that an owner may choose from", func() {
	It("leave out members without one, and makeshift ones beside lasting ones", func() {
		lasting, makeshift, none := wire.Member{Name: "a", Disk: "a"}, wire.Member{Name: "m", Makeshift: "m"}, wire.Member{Name: "n"}
		Expect(withDisks([]wire.Member{makeshift, lasting, none})).To(Equal([]wire.Member{lasting}))
		found := withDisks([]wire.Member{makeshift, none})
		Expect(found).To(HaveLen(1))
		Expect(found[0].Disk).To(Equal("m"))
	})
})

var _ = Describe("the time that a call to a voter may take", func() {
	It("grows with the bytes that it carries, and not without bound", func() {
		ops := []wire.Op{{Name: "n", Value: make([]byte, 64<<10-1)}}
		Expect(limitFor(&wire.AppendCall{})).To(Equal(appendLimit))
		Expect(limitFor(&wire.AppendCall{Changes: []wire.Change{{Ops: ops}}})).To(Equal(appendLimit + time.Second))
		Expect(limitFor(&wire.AppendCall{Chunk: &wire.SnapshotChunk{Pairs: ops}})).To(Equal(appendLimit + time.Second))
		large := &wire.Snapshot{Pairs: []wire.Op{{Value: make([]byte, 64<<20)}}}
		Expect(limitFor(&wire.AppendCall{Snapshot: large})).To(Equal(mostLimit))
	})
})

var _ = Describe("a steward that leaves", func() {
	set := wire.VoterSet{Now: []string{"a", "b", "c"}}
	alive := func(disk string) wire.Member { return wire.Member{Name: disk, Role: "steward", Disk: disk} }

	It("waits for a replacement only where a live disk is left that is no voter", func() {
		gone := alive("d")
		gone.State = wire.StateGone
		Expect(IsReplaceable([]wire.Member{alive("a"), alive("b"), alive("c")}, "a", set)).To(BeFalse())
		Expect(IsReplaceable([]wire.Member{alive("a"), gone, {Name: "n"}}, "a", set)).To(BeFalse())
		Expect(IsReplaceable([]wire.Member{alive("d")}, "d", set)).To(BeFalse())
		Expect(IsReplaceable([]wire.Member{alive("d")}, "a", set)).To(BeTrue())
		Expect(IsReplaceable([]wire.Member{alive("d")}, "a", wire.VoterSet{Old: []string{"d"}, Now: set.Now})).To(BeFalse())
		Expect(IsReplaceable([]wire.Member{alive("d")}, "a", wire.VoterSet{Old: set.Now, Now: []string{"b", "c", "d"}})).To(BeTrue(), "the change still needs its vote")
	})

	It("ends long before its limit where there is nothing to wait for", func() {
		for _, hasReplica := range []bool{false, true} {
			store := openStore()
			ring, _ := newRing(store, false)
			clock := clock.System()
			ring.clock = clock
			if hasReplica {
				taken := make(chan struct{})
				change := wire.Change{Position: wire.LogPosition{Epoch: 1, Index: 1}, Set: &wire.VoterSet{Now: []string{store.Disk(), "b", "c"}}}
				store.Submit(storage.Write{Key: "plan", Epoch: 1, Changes: []wire.Change{change}}, func(storage.Outcome) { close(taken) })
				Eventually(taken).Should(BeClosed())
				replicas, err := replication.NewReplicas(mailbox.New(64), store, clock, time.Second)
				Expect(err).NotTo(HaveOccurred())
				ring.replicas = replicas
			}
			ctx, end := context.WithCancel(context.Background())
			defer end()
			go ring.replicas.Mailbox().Run(ctx, clock, mailbox.Owner{Every: time.Minute})
			go ring.box.Run(ctx, clock, mailbox.Owner{Every: time.Minute})
			began := clock.Monotonic()
			ring.Leave(time.Minute)
			took := clock.Monotonic() - began
			Expect(took).To(BeNumerically(">=", handOverTime))
			Expect(took).To(BeNumerically("<", time.Minute))
		}
	})
})
