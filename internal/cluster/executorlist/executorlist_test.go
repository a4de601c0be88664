package executorlist_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/executorlist"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

func version(epoch, number uint64) wire.ExecutorListVersion {
	return wire.ExecutorListVersion{Epoch: epoch, Number: number}
}

// runInBackground runs a function until the spec ends.
func runInBackground(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-ended
	})
}

func newHolder(onChange func(*executorlist.List)) *executorlist.Holder {
	holder := executorlist.NewHolder(clock.System(), onChange)
	runInBackground(holder.Run)
	return holder
}

var _ = Describe("the list of executors", func() {
	It("ignores older versions, reports only changes, and lets callers wait for a newer version", func() {
		changes := make(chan int, 10)
		holder := newHolder(func(list *executorlist.List) { changes <- len(list.Executors) })
		Expect(holder.HasList()).To(BeFalse())
		holder.Update(version(2, 1), []wire.ExecutorRecord{{ID: "a", Service: "s"}, {ID: "b", Service: "t"}})
		Expect(holder.WaitForNewer(context.Background(), version(0, 0), time.Minute).Version).To(Equal(version(2, 1)))
		Eventually(changes).Should(Receive(Equal(2)))
		Expect(holder.OfService("t")).To(HaveExactElements(HaveField("ID", "b")))
		holder.Update(version(1, 9), nil)
		holder.Update(version(2, 1), nil)
		holder.Update(version(3, 1), holder.Current().Executors)
		Expect(holder.WaitForNewer(context.Background(), version(2, 1), time.Minute).Executors).To(HaveLen(2))
		Expect(changes).To(BeEmpty())
		Expect(holder.WaitForNewer(context.Background(), version(3, 1), time.Millisecond).Version).To(Equal(version(3, 1)))
	})

	It("is read in pages while the process should poll, and gets a new version only if it differs", func() {
		var calls, executors atomic.Int64
		executors.Store(3)
		platform := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
			calls.Add(1)
			to.Header().Set("Content-Type", "application/json")
			if request.URL.Query().Get("page-token") == "" {
				fmt.Fprint(to, `{"instance-list":[{"executor-id":"b","service":"s","address":"1.2.3.4:1","zone":"z","slot-count":8,"executor-state":"ready"}],"next-token":"p-1"}`)
				return
			}
			fmt.Fprint(to, `{"instance-list":[`)
			for number := range executors.Load() - 1 {
				if number > 0 {
					fmt.Fprint(to, ",")
				}
				fmt.Fprintf(to, `{"executor-id":"a%d","service":"s","executor-state":"draining"}`, number)
			}
			fmt.Fprint(to, `],"next-token":null}`)
		}))
		DeferCleanup(platform.Close)
		var isDue atomic.Bool
		changed := make(chan struct{})
		holder := newHolder(func(*executorlist.List) {})
		poller := executorlist.NewPoller(&http.Client{}, platform.Listener.Addr().String(), holder, clock.System(), logging.Silent(),
			func() executorlist.PollDecision {
				return executorlist.PollDecision{IsDue: isDue.Load(), Epoch: 7, Changed: changed}
			})
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(poller.Run(cancelled)).To(Succeed())
		Expect(calls.Load()).To(BeZero())
		runInBackground(poller.Run)
		isDue.Store(true)
		changed <- struct{}{}
		Eventually(func() wire.ExecutorListVersion { return holder.Current().Version }, "3s").Should(Equal(version(7, 1)))
		Expect(holder.Current().Executors).To(HaveExactElements(
			wire.ExecutorRecord{ID: "a0", Service: "s", IsDraining: true}, wire.ExecutorRecord{ID: "a1", Service: "s", IsDraining: true},
			wire.ExecutorRecord{ID: "b", Service: "s", Address: "1.2.3.4:1", Zone: "z", Slots: 8}))
		Eventually(calls.Load, "3s").Should(BeNumerically(">=", 4))
		Expect(holder.Current().Version).To(Equal(version(7, 1)))
		executors.Store(2)
		Eventually(func() wire.ExecutorListVersion { return holder.Current().Version }, "3s").Should(Equal(version(7, 2)))
	})

	It("is passed on from a steward to other processes", func() {
		steward := newHolder(func(*executorlist.List) {})
		mux := http.NewServeMux()
		steward.Handle(mux)
		server := httptest.NewServer(mux)
		DeferCleanup(server.CloseClientConnections)
		view := &membership.View{Self: wire.Member{Name: "gate", Role: "gate", Domain: "z"},
			Stewards: []wire.Member{{Name: "s", Role: membership.RoleSteward, Address: server.Listener.Addr().String(), Control: "c", Domain: "z"}}}
		gate := newHolder(func(*executorlist.List) {})
		caller := peerapi.NewCaller(peerapi.Client(time.Second, 1))
		runInBackground(executorlist.NewFollower(gate, caller, clock.System(), func() *membership.View { return view }, executorlist.NearSteward).Run)
		steward.Update(version(1, 1), []wire.ExecutorRecord{{ID: "a"}})
		Eventually(func() int { return len(gate.Current().Executors) }, "3s").Should(Equal(1))
		steward.Update(version(1, 2), nil)
		Eventually(func() wire.ExecutorListVersion { return gate.Current().Version }, "3s").Should(Equal(version(1, 2)))
	})
})

var _ = Describe("the steward that a process gets the list from", func() {
	stewards := []wire.Member{{Name: "far", Role: "steward", Address: "1", Control: "c", Domain: "y"},
		{Name: "near", Role: "steward", Address: "2", Control: "c", Domain: "z"}, {Name: "store", Role: "steward", Address: "3", Domain: "z"},
		{Name: "gone", Role: "steward", Address: "4", Control: "c", Domain: "z", State: wire.StateGone}}

	It("is a live one of the same zone that serves operators, else one of another zone", func() {
		view := &membership.View{Self: wire.Member{Name: "g", Role: "gate", Domain: "z"}, Stewards: stewards}
		Expect(executorlist.NearSteward(view)).To(Equal("2"))
		view.Self.Domain = "x"
		Expect(executorlist.NearSteward(view)).To(Or(Equal("1"), Equal("2")))
		Expect(executorlist.NearSteward(&membership.View{})).To(BeEmpty())
	})

	It("is the leader of the configuration for a steward, and none for the leader itself", func() {
		view := &membership.View{Self: wire.Member{Name: "far", Role: "steward"}, Stewards: stewards[:2],
			Leaders: map[string]wire.KeyLeader{"plan": {Name: "near"}}}
		Expect(executorlist.LeaderOf("plan")(view)).To(Equal("2"))
		view.Self.Name = "near"
		Expect(executorlist.LeaderOf("plan")(view)).To(BeEmpty())
	})
})
