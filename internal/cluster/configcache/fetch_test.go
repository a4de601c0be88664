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

func runningCache(onChange func(*configcache.Snapshot)) *configcache.Cache {
	ctx, end := context.WithCancel(context.Background())
	cache := configcache.New(peerapi.NewCaller(http.DefaultClient), clock.System(), logging.Silent(), onChange)
	over := make(chan error, 1)
	go func() { over <- cache.Run(ctx) }()
	DeferCleanup(func() {
		end()
		Expect(<-over).To(Succeed())
	})
	return cache
}

var _ = Describe("the configuration that a process holds", func() {
	It("is fetched from a peer that is ahead, and counted", func() {
		before := metrics.Own()
		snapshots := make(chan *configcache.Snapshot, 2)
		onChange := func(snapshot *configcache.Snapshot) { snapshots <- snapshot }
		ahead, behind := runningCache(onChange), runningCache(onChange)
		mux := http.NewServeMux()
		ahead.Handle(mux)
		server := httptest.NewServer(mux)
		defer server.Close()
		ahead.Hold(&wire.Configuration{Version: 7, Body: []byte(smallBody)})
		<-snapshots
		behind.FetchFrom(wire.Member{Address: server.Listener.Addr().String()}, 7)
		Expect((<-snapshots).Committed.Version).To(Equal(int64(7)))
		Expect(behind.Current().Matcher.Match("h.example", "/q/x").Name).To(Equal("a"))
		own := metrics.Own()
		grown := func(name string) float64 { return own[name] - before[name] }
		Expect(grown("gannetline_configuration_versions_total")).To(Equal(2.0))
		Expect(own).To(HaveKeyWithValue("gannetline_configuration_version", 7.0))
		image, err := configcache.Pack(ahead.Current().Committed)
		Expect(err).NotTo(HaveOccurred())
		Expect(grown("gannetline_configuration_fetched_bytes_total")).To(Equal(float64(image.Size())))
	})
})
