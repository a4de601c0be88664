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

// addressOnlyListener has an address but accepts no connections.
type addressOnlyListener struct{ net.Listener }

func (addressOnlyListener) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7000}
}

// directTransport passes HTTP requests to a mux in the same process.
type directTransport struct{ mux *http.ServeMux }

func (s directTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	answer := httptest.NewRecorder()
	s.mux.ServeHTTP(answer, request)
	return answer.Result(), nil
}

func newManager(store *storage.Store, isTemporary bool) (*Manager, *peerapi.Caller) {
	clock, mux := clock.NewFake(1000), http.NewServeMux()
	caller := peerapi.NewCaller(&http.Client{Transport: directTransport{mux}})
	config := Config{Clock: clock, Log: logging.Silent(), Store: store, IsDiskTemporary: isTemporary, MachineLosses: 1, Name: "one", Caller: caller,
		Node:           membership.NewNode(wire.Member{Name: "one", Role: "steward"}, addressOnlyListener{}, nil, nil, caller, clock, logging.Silent()),
		Configurations: configcache.New(caller, clock, logging.Silent(), func(*configcache.Snapshot) {})}
	if store != nil {
		var err error
		config.Replicas, err = replication.NewReplicas(mailbox.New(64), store, clock, time.Second)
		Expect(err).NotTo(HaveOccurred())
	}
	manager := New(config)
	manager.ctx = context.Background()
	manager.Handle(mux)
	return manager, caller
}

func callProcedure[Request, Response any](caller *peerapi.Caller, procedure string, call Request) (*Response, error) {
	return peerapi.Call[Request, Response](context.Background(), caller, "10.0.0.1:7000", procedure, time.Second, &call)
}

func openStore() *storage.Store {
	store, err := storage.Open(GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(store.Close)
	return store
}

var _ = Describe("a steward without a persistent disk", func() {
	It("names no disk, rejects replication calls and leads no key if it has no disk at all", func() {
		manager, caller := newManager(nil, false)
		manager.initialVoters = []string{"a", "b", "c"}
		manager.reconcile()
		Expect(manager.runners).To(BeEmpty())
		identity, err := callProcedure[wire.IdentifyCall, wire.IdentifyAnswer](caller, peerapi.ProcedureIdentify, wire.IdentifyCall{})
		Expect(err).NotTo(HaveOccurred())
		Expect(*identity).To(Equal(wire.IdentifyAnswer{}))
		_, err = callProcedure[wire.PromiseCall, wire.PromiseAnswer](caller, peerapi.ProcedurePromise, wire.PromiseCall{Key: "plan", Epoch: 1})
		Expect(err).To(HaveOccurred())
		_, err = callProcedure[wire.AppendCall, wire.AppendAnswer](caller, peerapi.ProcedureAppend, wire.AppendCall{Key: "plan", Epoch: 1})
		Expect(err).To(HaveOccurred())
		response, err := callProcedure[wire.ClientCall, wire.ClientAnswer](caller, peerapi.ProcedureClient, wire.ClientCall{Key: "plan"})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.NotLeader).To(BeTrue())
		exchanged, err := callProcedure[wire.ExchangeCall, wire.ExchangeAnswer](caller, peerapi.ProcedureExchange, wire.ExchangeCall{Key: "pool/s"})
		Expect(err).NotTo(HaveOccurred())
		Expect(exchanged.NotLeader).To(BeTrue())
		keys, jobs, executors := manager.Beliefs(context.Background())
		Expect(keys).To(BeNil())
		Expect(jobs).To(BeNil())
		Expect(executors).To(BeNil())
	})

	It("returns from Run when the context is done", func() {
		manager, _ := newManager(nil, false)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(manager.Run(ctx)).To(Succeed())
	})

	It("starts runners on a temporary disk only if the disk is an initial voter", func() {
		store := openStore()
		manager, caller := newManager(store, true)
		identity, err := callProcedure[wire.IdentifyCall, wire.IdentifyAnswer](caller, peerapi.ProcedureIdentify, wire.IdentifyCall{})
		Expect(err).NotTo(HaveOccurred())
		Expect(identity.Disk).To(BeEmpty())
		Expect(identity.TemporaryDisk).To(Equal(store.Disk()))
		manager.initialVoters = []string{"a", "b", "c"}
		manager.reconcile()
		Expect(manager.runners).To(BeEmpty())
		manager.initialVoters = []string{"a", "b", store.Disk()}
		manager.reconcile()
		Expect(manager.runners).To(HaveKey(configleader.Key))
	})
})

var _ = Describe("the initial voters", func() {
	It("are the distinct persistent disks of the seeds", func() {
		Expect(chooseInitialVoters(map[string]wire.IdentifyAnswer{"x": {Disk: "b"}, "y": {Disk: "a"}, "z": {Disk: "a"}})).To(Equal([]string{"a", "b"}))
		Expect(chooseInitialVoters(map[string]wire.IdentifyAnswer{"x": {Disk: "b"}, "y": {}, "z": {TemporaryDisk: "m"}})).To(Equal([]string{"b"}))
	})

	It("are temporary disks if no seed has a persistent disk", func() {
		Expect(chooseInitialVoters(map[string]wire.IdentifyAnswer{"x": {TemporaryDisk: "n"}, "y": {}, "z": {TemporaryDisk: "m"}})).To(Equal([]string{"m", "n"}))
	})
})

var _ = Describe("the candidates for voters", func() {
	It("exclude members without a disk, and temporary disks if there are persistent ones", func() {
		persistent, temporary, none := wire.Member{Name: "a", Disk: "a"}, wire.Member{Name: "m", TemporaryDisk: "m"}, wire.Member{Name: "n"}
		Expect(filterWithDisks([]wire.Member{temporary, persistent, none})).To(Equal([]wire.Member{persistent}))
		selected := filterWithDisks([]wire.Member{temporary, none})
		Expect(selected).To(HaveLen(1))
		Expect(selected[0].Disk).To(Equal("m"))
	})
})

var _ = Describe("the timeout of an Append call", func() {
	It("grows with the size of the call up to a maximum", func() {
		ops := []wire.Op{{Name: "n", Value: make([]byte, 64<<10-1)}}
		Expect(appendTimeout(&wire.AppendCall{})).To(Equal(baseAppendTimeout))
		Expect(appendTimeout(&wire.AppendCall{Changes: []wire.Change{{Ops: ops}}})).To(Equal(baseAppendTimeout + time.Second))
		Expect(appendTimeout(&wire.AppendCall{Chunk: &wire.SnapshotChunk{Pairs: ops}})).To(Equal(baseAppendTimeout + time.Second))
		large := &wire.Snapshot{Pairs: []wire.Op{{Value: make([]byte, 64<<20)}}}
		Expect(appendTimeout(&wire.AppendCall{Snapshot: large})).To(Equal(maxAppendTimeout))
	})
})

var _ = Describe("a leaving steward", func() {
	voters := wire.VoterSet{Current: []string{"a", "b", "c"}}
	newSteward := func(disk string) wire.Member { return wire.Member{Name: disk, Role: "steward", Disk: disk} }

	It("waits for a replacement only if a live disk is no voter or a change of voters is removing it", func() {
		gone := newSteward("d")
		gone.State = wire.StateGone
		Expect(IsReplaceable([]wire.Member{newSteward("a"), newSteward("b"), newSteward("c")}, "a", voters)).To(BeFalse())
		Expect(IsReplaceable([]wire.Member{newSteward("a"), gone, {Name: "n"}}, "a", voters)).To(BeFalse())
		Expect(IsReplaceable([]wire.Member{newSteward("d")}, "d", voters)).To(BeFalse())
		Expect(IsReplaceable([]wire.Member{newSteward("d")}, "a", voters)).To(BeTrue())
		Expect(IsReplaceable([]wire.Member{newSteward("d")}, "a", wire.VoterSet{Old: []string{"d"}, Current: voters.Current})).To(BeFalse())
		Expect(IsReplaceable([]wire.Member{newSteward("d")}, "a", wire.VoterSet{Old: voters.Current, Current: []string{"b", "c", "d"}})).To(BeTrue(), "the change of voters still needs the vote of the leaving disk")
	})

	It("returns from Leave long before the timeout if nothing is left to wait for", func() {
		for _, hasReplica := range []bool{false, true} {
			store := openStore()
			manager, _ := newManager(store, false)
			clock := clock.System()
			manager.Clock = clock
			if hasReplica {
				written := make(chan struct{})
				change := wire.Change{Position: wire.LogPosition{Epoch: 1, Index: 1}, Voters: &wire.VoterSet{Current: []string{store.Disk(), "b", "c"}}}
				store.Submit(storage.Write{Key: "plan", Epoch: 1, Changes: []wire.Change{change}}, func(storage.Outcome) { close(written) })
				Eventually(written).Should(BeClosed())
				replicas, err := replication.NewReplicas(mailbox.New(64), store, clock, time.Second)
				Expect(err).NotTo(HaveOccurred())
				manager.Replicas = replicas
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go manager.Replicas.Mailbox().Run(ctx, clock, mailbox.Owner{Every: time.Minute})
			go manager.mailbox.Run(ctx, clock, mailbox.Owner{Every: time.Minute})
			start := clock.Monotonic()
			manager.Leave(time.Minute)
			elapsed := clock.Monotonic() - start
			Expect(elapsed).To(BeNumerically(">=", releaseNoticeTime))
			Expect(elapsed).To(BeNumerically("<", time.Minute))
		}
	})
})

var _ = Describe("a retiring storage machine", func() {
	It("stores that it is retiring, continues after a restart, and is empty once its disk is no voter", func() {
		store := openStore()
		setVoters := func(index uint64, voters ...string) {
			written := make(chan struct{})
			change := wire.Change{Position: wire.LogPosition{Epoch: 1, Index: index}, Voters: &wire.VoterSet{Current: voters}}
			prev := wire.LogPosition{}
			if index > 1 {
				prev = wire.LogPosition{Epoch: 1, Index: index - 1}
			}
			store.Submit(storage.Write{Key: wire.LotsKey, Epoch: 1, Prev: prev, Changes: []wire.Change{change}}, func(storage.Outcome) { close(written) })
			Eventually(written).Should(BeClosed())
		}
		restartAndRetire := func(isStart bool) wire.RetireAnswer {
			manager, _ := newManager(store, false)
			manager.Clock = clock.System()
			replicas, err := replication.NewReplicas(mailbox.New(64), store, manager.Clock, time.Second)
			Expect(err).NotTo(HaveOccurred())
			manager.Replicas = replicas
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go replicas.Mailbox().Run(ctx, manager.Clock, mailbox.Owner{Every: time.Minute})
			go manager.mailbox.Run(ctx, manager.Clock, mailbox.Owner{Every: time.Minute})
			answer, err := manager.Retire(ctx, &wire.RetireCall{Begin: isStart})
			Expect(err).NotTo(HaveOccurred())
			return *answer
		}
		setVoters(1, store.Disk(), "b", "c")
		Expect(restartAndRetire(false)).To(Equal(wire.RetireAnswer{}))
		Expect(restartAndRetire(true)).To(Equal(wire.RetireAnswer{IsRetiring: true}))
		Expect(store.IsRetiring()).To(BeTrue())
		Expect(restartAndRetire(false)).To(Equal(wire.RetireAnswer{IsRetiring: true}))
		setVoters(2, "b", "c", "d")
		Expect(restartAndRetire(false)).To(Equal(wire.RetireAnswer{IsRetiring: true, IsEmpty: true}))
	})
})
