package peerapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/metrics"
)

var _ = Describe("calls between peers", func() {
	It("are counted on both sides, with their bytes and errors", func() {
		mux := http.NewServeMux()
		peerapi.Serve(mux, peerapi.ProcedurePlan, func(_ context.Context, call *wire.ConfigurationCall) (*wire.ConfigurationAnswer, error) {
			if call.HeldVersion == 9 {
				return nil, errors.New("no")
			}
			return &wire.ConfigurationAnswer{}, nil
		})
		server := httptest.NewServer(mux)
		defer server.Close()
		caller := peerapi.NewCaller(http.DefaultClient)
		callPeer := func(heldVersion int64) error {
			_, err := peerapi.Call[wire.ConfigurationCall, wire.ConfigurationAnswer](context.Background(), caller,
				server.Listener.Addr().String(), peerapi.ProcedurePlan, time.Minute, &wire.ConfigurationCall{HeldVersion: heldVersion})
			return err
		}
		Expect(callPeer(1)).To(Succeed())
		Expect(callPeer(9)).NotTo(Succeed())
		own := metrics.Own()
		for _, side := range []string{"made", "served"} {
			labels := `{procedure="Plan",side="` + side + `"}`
			Expect(own).To(HaveKeyWithValue("gannetline_peer_calls_total"+labels, 2.0))
			Expect(own).To(HaveKeyWithValue("gannetline_peer_call_errors_total"+labels, 1.0))
		}
		Expect(own).To(HaveKeyWithValue(`gannetline_peer_sent_bytes_total{procedure="Plan",side="made"}`, float64(2*len(`{"held":1}`))))
		Expect(own).To(HaveKeyWithValue(`gannetline_peer_received_bytes_total{procedure="Plan",side="served"}`, float64(2*len(`{"held":1}`))))
		Expect(own).To(HaveKeyWithValue(`gannetline_peer_sent_bytes_total{procedure="Plan",side="served"}`, float64(len(`{}`))))
		Expect(own).To(HaveKeyWithValue(`gannetline_peer_received_bytes_total{procedure="Plan",side="made"}`, float64(len(`{}`))))
	})
})
