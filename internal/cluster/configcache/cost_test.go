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

// BenchmarkVersion measures each step of handling a new version, for the numbers of routes that users have and that they have asked for.
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

// blockedWriter writes the answer for a caller that doesn't read it until released is closed. It reports each write on writing first.
type blockedWriter struct {
	*httptest.ResponseRecorder
	writing  chan struct{}
	released chan struct{}
}

func (w blockedWriter) Write(text []byte) (int, error) {
	w.writing <- struct{}{}
	<-w.released
	return w.ResponseRecorder.Write(text)
}

var _ = Describe("a cache that many peers fetch from", func() {
	const maxConcurrentAnswers = 12

	It("answers Busy at the maximum of concurrent answers, and answers fully again once one of them has ended", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		inForce := make(chan struct{}, 1)
		cache := configcache.New(peerapi.NewCaller(http.DefaultClient), clock.NewFake(1), logging.Silent(),
			func(*configcache.Snapshot) { inForce <- struct{}{} })
		go cache.Run(ctx)
		mux := http.NewServeMux()
		cache.Handle(mux)
		cache.AdoptIfNewer(newHistory(550).next())
		<-inForce
		writing, released, finished := make(chan struct{}), make(chan struct{}), make(chan struct{}, maxConcurrentAnswers)
		unblocked := &scriptedPeer{mux: mux}
		call := func(transport http.RoundTripper) (*wire.ConfigurationAnswer, error) {
			return peerapi.Call[wire.ConfigurationCall, wire.ConfigurationAnswer](context.Background(), peerapi.NewCaller(&http.Client{Transport: transport}), "10.0.0.9:1", peerapi.ProcedurePlan, time.Minute, &wire.ConfigurationCall{AcceptsChunks: true})
		}
		for range maxConcurrentAnswers {
			go func() {
				call(roundTrip(func(request *http.Request) (*http.Response, error) {
					recorder := httptest.NewRecorder()
					mux.ServeHTTP(blockedWriter{recorder, writing, released}, request)
					return recorder.Result(), nil
				}))
				finished <- struct{}{}
			}()
			<-writing
		}
		answer, err := call(unblocked)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(&wire.ConfigurationAnswer{Busy: true}))
		close(released)
		<-finished
		answer, err = call(unblocked)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Chunk).NotTo(BeNil())
	})
})

// roundTrip is a function used as an HTTP transport.
type roundTrip func(*http.Request) (*http.Response, error)

func (r roundTrip) RoundTrip(request *http.Request) (*http.Response, error) { return r(request) }
