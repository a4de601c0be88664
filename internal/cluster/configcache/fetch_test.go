package configcache_test

import (
	"context"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/metrics"
)

const smallBody = `{"config-version":7,"route-list":[{"name":"a","host":"h.example","path-prefix":"/q/","timeout-ms":3000,"service":"s"}],"service-list":[{"name":"s"}]}`

// startCache runs a cache until the spec ends.
func startCache(onChange func(*configcache.Snapshot)) *configcache.Cache {
	ctx, cancel := context.WithCancel(context.Background())
	cache := configcache.New(peerapi.NewCaller(http.DefaultClient), clock.System(), logging.Silent(), onChange)
	ended := make(chan error, 1)
	go func() { ended <- cache.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Expect(<-ended).To(Succeed())
	})
	return cache
}

var _ = Describe("a cache that is behind a peer", func() {
	It("fetches the newer configuration, and counts versions and bytes", func() {
		before := metrics.Own()
		snapshots := make(chan *configcache.Snapshot, 2)
		onChange := func(snapshot *configcache.Snapshot) { snapshots <- snapshot }
		ahead, behind := startCache(onChange), startCache(onChange)
		mux := http.NewServeMux()
		ahead.Handle(mux)
		server := httptest.NewServer(mux)
		defer server.Close()
		ahead.AdoptIfNewer(&wire.Configuration{Version: 7, Body: []byte(smallBody)})
		<-snapshots
		behind.FetchFrom(wire.Member{Address: server.Listener.Addr().String()}, 7)
		Expect((<-snapshots).Committed.Version).To(Equal(int64(7)))
		Expect(behind.Current().Matcher.Match("h.example", "/q/x").Name).To(Equal("a"))
		own := metrics.Own()
		increaseOf := func(name string) float64 { return own[name] - before[name] }
		Expect(increaseOf("gannetline_configuration_versions_total")).To(Equal(2.0))
		Expect(own).To(HaveKeyWithValue("gannetline_configuration_version", 7.0))
		image, err := configcache.Pack(ahead.Current().Committed)
		Expect(err).NotTo(HaveOccurred())
		Expect(increaseOf("gannetline_configuration_fetched_bytes_total")).To(Equal(float64(image.Size())))
	})
})
