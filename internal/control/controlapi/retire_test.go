package controlapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/controlapi"
)

var _ = Describe("the call to empty a storage machine", func() {
	var state wire.RetireAnswer
	var view *membership.View
	var machine *httptest.Server
	BeforeEach(func() {
		state = wire.RetireAnswer{}
		mux := http.NewServeMux()
		peerapi.Serve(mux, peerapi.ProcedureRetire, func(_ context.Context, call *wire.RetireCall) (*wire.RetireAnswer, error) {
			state.IsRetiring = state.IsRetiring || call.Begin
			answer := state
			return &answer, nil
		})
		machine = httptest.NewServer(mux)
		DeferCleanup(machine.CloseClientConnections)
		address := machine.Listener.Addr().String()
		view = &membership.View{Stewards: []wire.Member{{Name: "edge", Role: "steward", Disk: "e", Control: "c", Address: address},
			{Name: "store-1", Role: "steward", Disk: "1", Address: address}, {Name: "store-2", Role: "steward", Disk: "2"},
			{Name: "store-3", Role: "steward", Disk: "3"}, {Name: "store-4", Role: "steward", Disk: "4"}}}
	})
	ask := func(method, path string) *httptest.ResponseRecorder {
		handler := controlapi.NewRetireHandler(peerapi.NewCaller(peerapi.Client(time.Second, 1)), func() *membership.View { return view }, 1)
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(method, path, nil))
		return answer
	}

	It("is sent to the machine, whose state is returned to the operator", func() {
		Expect(ask("GET", "/v1/retire/store-1/retrieve").Code).To(Equal(404))
		Expect(ask("POST", "/v1/retire/store-1/initiate").Code).To(Equal(200))
		Expect(ask("POST", "/v1/retire/store-1/initiate").Code).To(Equal(200))
		Expect(ask("GET", "/v1/retire/store-1/retrieve").Body.String()).To(Equal(`{"executor-state":"active"}`))
		state.IsEmpty = true
		Expect(ask("GET", "/v1/retire/store-1/retrieve").Body.String()).To(Equal(`{"executor-state":"completed"}`))
	})

	It("is refused for an unknown machine, a machine without lots, and if too few machines would remain", func() {
		Expect(ask("POST", "/v1/retire/store-9/initiate").Code).To(Equal(404))
		Expect(ask("POST", "/v1/retire/edge/initiate").Code).To(Equal(404))
		Expect(ask("POST", "/v1/retire/store-1/other").Code).To(Equal(404))
		Expect(ask("GET", "/v1/retire/store-1/initiate").Code).To(Equal(405))
		view.Stewards = view.Stewards[:4]
		Expect(ask("POST", "/v1/retire/store-1/initiate").Code).To(Equal(409))
		Expect(state.IsRetiring).To(BeFalse())
	})

	// Guards against orders that leave too few machines, because machines that are being emptied counted as remaining.
	It("is refused if too few machines would remain that aren't being emptied", func() {
		mux := http.NewServeMux()
		peerapi.Serve(mux, peerapi.ProcedureRetire, func(context.Context, *wire.RetireCall) (*wire.RetireAnswer, error) {
			return &wire.RetireAnswer{IsRetiring: true}, nil
		})
		retiring := httptest.NewServer(mux)
		DeferCleanup(retiring.Close)
		view.Stewards[2].Address = retiring.Listener.Addr().String()
		Expect(ask("POST", "/v1/retire/store-1/initiate").Code).To(Equal(409))
		Expect(state.IsRetiring).To(BeFalse())
		view.Stewards = append(view.Stewards, wire.Member{Name: "store-5", Role: "steward", Disk: "5"})
		Expect(ask("POST", "/v1/retire/store-1/initiate").Code).To(Equal(200))
		view.Stewards = view.Stewards[:4]
		Expect(ask("POST", "/v1/retire/store-1/initiate").Code).To(Equal(200), "the order was accepted before")
	})

	It("is answered 503 if the machine does not answer", func() {
		machine.Close()
		Expect(ask("POST", "/v1/retire/store-1/initiate").Code).To(Equal(503))
	})
})
