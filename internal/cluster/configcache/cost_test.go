package configcache_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

// BenchmarkVersion measures what one version costs at the sizes that users have and want.
func BenchmarkVersion(b *testing.B) {
	for _, count := range []int{40, 550, 1400} {
		h := newHistory(count)
		base := h.next()
		before := versionOf(base)
		next := h.next()
		answer := before.Next(next).AnswerTo(&wire.ConfigurationCall{HeldVersion: base.Version, AcceptsChanges: true})
		chain := before
		for range 32 {
			chain = chain.Next(h.next())
		}
		chained := chain.AnswerTo(&wire.ConfigurationCall{HeldVersion: base.Version, AcceptsChanges: true})
		image, _ := configcache.Pack(next)
		steps := map[string]func() error{
			"read":    func() error { _, err := configuration.Read(next.Body); return err },
			"follow":  func() error { before.Next(next); return nil },
			"apply":   func() error { _, err := before.Apply(answer); return err },
			"apply32": func() error { _, err := before.Apply(chained); return err },
			"pack":    func() error { _, err := configcache.Pack(next); return err },
			"unpack":  func() error { _, err := image.Unpack(); return err },
		}
		for name, step := range steps {
			b.Run(fmt.Sprintf("%s/%d", name, count), func(b *testing.B) {
				for b.Loop() {
					if err := step(); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// blockedWriter is a caller that doesn't read its answer until it is let.
type blockedWriter struct {
	*httptest.ResponseRecorder
	isWriting chan struct{}
	isLet     chan struct{}
}

func (w blockedWriter) Write(text []byte) (int, error) {
	w.isWriting <- struct{}{}
	<-w.isLet
	return w.ResponseRecorder.Write(text)
}

var _ = Describe("a flood of fetches", func() {
	const maxConcurrentAnswers = 12

	It("has a bounded number of answers under way; the next is sent on, and served once one is through", func() {
		ctx, end := context.WithCancel(context.Background())
		DeferCleanup(end)
		inForce := make(chan struct{}, 1)
		cache := configcache.New(peerapi.NewCaller(http.DefaultClient), clock.NewFake(1), logging.Silent(),
			func(*configcache.Snapshot) { inForce <- struct{}{} })
		go cache.Run(ctx)
		mux := http.NewServeMux()
		cache.Handle(mux)
		cache.Hold(newHistory(550).next())
		<-inForce
		isWriting, isLet, through := make(chan struct{}), make(chan struct{}), make(chan struct{}, maxConcurrentAnswers)
		current := &scriptedPeer{mux: mux}
		call := func(through http.RoundTripper) (*wire.ConfigurationAnswer, error) {
			return peerapi.Call[wire.ConfigurationCall, wire.ConfigurationAnswer](context.Background(), peerapi.NewCaller(&http.Client{Transport: through}), "10.0.0.9:1", peerapi.ProcedurePlan, time.Minute, &wire.ConfigurationCall{AcceptsChunks: true})
		}
		for range maxConcurrentAnswers {
			go func() {
				call(roundTrip(func(request *http.Request) (*http.Response, error) {
					recorder := httptest.NewRecorder()
					mux.ServeHTTP(blockedWriter{recorder, isWriting, isLet}, request)
					return recorder.Result(), nil
				}))
				through <- struct{}{}
			}()
			<-isWriting
		}
		answer, err := call(current)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(&wire.ConfigurationAnswer{Busy: true}))
		close(isLet)
		<-through
		answer, err = call(current)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Chunk).NotTo(BeNil())
	})
})

type roundTrip func(*http.Request) (*http.Response, error)

func (r roundTrip) RoundTrip(request *http.Request) (*http.Response, error) { return r(request) }
