package configcache_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

// latency is the delay of each answer beyond the time that its bytes take.
const latency = 5 * time.Millisecond

// event is a function that the network runs at a time of the fake clock.
type event struct {
	at  time.Duration
	run func()
}

// network simulates links on a fake clock: an answer takes latency, and the time of its bytes at the link's rate.
type network struct {
	clock  *clock.Fake
	events []event
	// rate is that of the fetching process's link, in bytes a second.
	rate          int
	peers         map[string]*process
	calls         []wire.ConfigurationCall
	receivedBytes int
	inFlight      int
	maxInFlight   int
}

func newNetwork(rate int) *network {
	return &network{clock: clock.NewFake(1), rate: rate, peers: map[string]*process{}}
}

func (n *network) after(delay time.Duration, run func()) {
	n.events = append(n.events, event{n.clock.Monotonic() + delay, run})
}

// runTo runs the events that are due until the end, in order of time, and sets the clock to it.
func (n *network) runTo(end time.Duration) {
	for {
		next := -1
		for index, candidate := range n.events {
			if candidate.at <= end && (next < 0 || candidate.at < n.events[next].at) {
				next = index
			}
		}
		if next < 0 {
			n.clock.Advance(max(0, end-n.clock.Monotonic()))
			return
		}
		due := n.events[next]
		n.events = slices.Delete(n.events, next, next+1)
		n.clock.Advance(max(0, due.at-n.clock.Monotonic()))
		due.run()
	}
}

// process fetches and serves configurations. A dead process never answers.
type process struct {
	member  wire.Member
	fetcher *configcache.Fetcher
	current *configcache.Version
	isDead  bool
	// applyTime is how long it takes to bring a version into force.
	applyTime time.Duration
	// corrupt, if set, replaces each answer of the process.
	corrupt func(*wire.ConfigurationAnswer) *wire.ConfigurationAnswer
	// appliedAt holds when each version came into force.
	appliedAt map[int64]time.Duration
}

func (n *network) add(name string) *process {
	added := &process{member: wire.Member{Name: name, Role: "steward", Address: name}, appliedAt: map[int64]time.Duration{}}
	added.start(n)
	n.peers[name] = added
	return added
}

// start starts the process, or restarts it without any configuration.
func (p *process) start(n *network) {
	p.current = nil
	var fetcher *configcache.Fetcher
	fetcher = configcache.NewFetcher(n.clock, logging.Silent(), configcache.Actions{
		Ask: func(address string, call *wire.ConfigurationCall, stallTimeout time.Duration) {
			n.send(fetcher, address, call, stallTimeout)
		},
		ResumeAfter: func(delay time.Duration) { n.after(delay, fetcher.Resume) },
		Use: func(next *configcache.Version) error {
			if strings.HasPrefix(string(next.Committed.Body), `"garbage`) {
				return errors.New(`"garbage`)
			}
			p.current = next
			p.appliedAt[next.Committed.Version] = n.clock.Monotonic()
			n.clock.Advance(p.applyTime)
			return nil
		}})
	p.fetcher = fetcher
}

// answer answers a call as a process's cache does.
func (p *process) answer(call *wire.ConfigurationCall) *wire.ConfigurationAnswer {
	answer := p.current.AnswerTo(call)
	if answer == nil {
		chunk, err := p.fetcher.Chunk(call)
		Expect(err).NotTo(HaveOccurred())
		answer = &wire.ConfigurationAnswer{Chunk: chunk}
	}
	if p.corrupt != nil {
		answer = p.corrupt(answer)
	}
	return answer
}

// send carries a call to a peer at once, and its answer back after the time that the link takes.
func (n *network) send(fetcher *configcache.Fetcher, address string, call *wire.ConfigurationCall, stallTimeout time.Duration) {
	n.calls = append(n.calls, *call)
	n.inFlight++
	n.maxInFlight = max(n.maxInFlight, n.inFlight)
	deliver := func(answer *wire.ConfigurationAnswer, err error) func() {
		return func() {
			n.inFlight--
			fetcher.HandleAnswer(address, call, answer, err)
		}
	}
	peer := n.peers[address]
	if peer.isDead {
		n.after(stallTimeout, deliver(nil, errors.Annotate(peerapi.ErrStalled, address)))
		return
	}
	answer := peer.answer(call)
	text, err := easyjson.Marshal(answer)
	Expect(err).NotTo(HaveOccurred())
	received := &wire.ConfigurationAnswer{}
	Expect(easyjson.Unmarshal(text, received)).To(Succeed())
	n.receivedBytes += len(text)
	n.after(latency+time.Duration(len(text))*time.Second/time.Duration(n.rate), deliver(received, nil))
}

// history generates versions as an operator may send them: routes with random names, one of which changes in each version.
type history struct {
	random      *rand.Rand
	routes      []string
	lastVersion int64
}

func newHistory(count int) *history {
	h := &history{random: rand.New(rand.NewPCG(7, 11))}
	for range count {
		h.routes = append(h.routes, h.route())
	}
	return h
}

func (h *history) randomWord(length int) string {
	var text strings.Builder
	for range length {
		text.WriteByte(byte('a' + h.random.IntN(26)))
	}
	return text.String()
}

func (h *history) route() string {
	return fmt.Sprintf(`{"name":"r-%s","host":"%s.example","path-prefix":"/%s%d/","route-type":"non_idempotent","timeout-ms":%d,"target-latency-ms":200,"priority":0,"service":"s","max-attempts":2,"stretch-factor":1.5}`,
		h.randomWord(7), h.randomWord(6), h.randomWord(4), h.random.IntN(999), 1000+h.random.IntN(9000))
}

func (h *history) next() *wire.Configuration {
	h.lastVersion += int64(1 + h.random.IntN(3))
	h.routes[h.random.IntN(len(h.routes))] = h.route()
	return committedVersion(h.lastVersion, []byte(fmt.Sprintf(`{"config-version":%d,"route-list":[%s],"service-list":[{"name":"s"}],"limits":{"max-header-bytes":16384}}`,
		h.lastVersion, strings.Join(h.routes, ","))))
}

// scheduleVersions gives the holders a new version at every interval from start on, for the given length of time, and reports each version to
// the gate.
func (n *network) scheduleVersions(h *history, gate *process, start, interval, length time.Duration, holders ...*process) {
	for at := time.Duration(0); at < length; at += interval {
		n.events = append(n.events, event{start + at, func() {
			next := h.next()
			for _, holder := range holders {
				holder.fetcher.AdoptIfNewer(next)
			}
			for _, holder := range holders {
				gate.fetcher.PeerHolds(holder.member, next.Version)
			}
		}})
	}
}

var _ = Describe("a process behind a slow link", func() {
	const routeCount = 550
	var network *network
	var h *history
	var steward, other, gate *process
	setUp := func(rate int) {
		network, h = newNetwork(rate), newHistory(routeCount)
		steward, other, gate = network.add("steward"), network.add("other"), network.add("gate")
	}
	reportPeers := func() {
		for _, peer := range []*process{steward, other} {
			if peer.current != nil {
				gate.fetcher.PeerHolds(peer.member, peer.current.Committed.Version)
			}
		}
	}

	DescribeTable("keeps applying versions while they come every 100 ms, with one call at a time", func(rate, count int, applyTime, maxLag, length time.Duration) {
		setUp(rate)
		h = newHistory(count)
		gate.applyTime = applyTime
		network.scheduleVersions(h, gate, 0, 100*time.Millisecond, length, steward)
		network.runTo(length)
		newest := h.lastVersion
		network.runTo(length + maxLag)
		Expect(gate.current.Committed.Version).To(Equal(newest))
		Expect(gate.current.Committed.Body).To(Equal(steward.current.Committed.Body))
		Expect(network.maxInFlight).To(Equal(1))
		var last, longestGap time.Duration
		var times []time.Duration
		for _, at := range gate.appliedAt {
			times = append(times, at)
		}
		slices.Sort(times)
		for _, at := range times {
			longestGap, last = max(longestGap, at-last), at
		}
		GinkgoWriter.Printf("%d B/s, %d routes, %v to apply: %d of %d versions applied, the longest gap %v, %d bytes\n", rate, count, applyTime, len(times), length/(100*time.Millisecond), longestGap, network.receivedBytes)
		Expect(longestGap).To(BeNumerically("<", maxLag))
	},
		Entry("2 Mbit/s", 250_000, 550, time.Duration(0), 500*time.Millisecond, 24*time.Second),
		Entry("2 Mbit/s and a slow processor", 250_000, 550, 60*time.Millisecond, time.Second, 24*time.Second),
		Entry("200 kbit/s", 25_000, 550, time.Duration(0), 3*time.Second, 24*time.Second),
		Entry("2 Mbit/s, a slow processor and 1,400 routes", 250_000, 1400, 150*time.Millisecond, 2*time.Second, 10*time.Second),
		Entry("200 kbit/s and 1,400 routes", 25_000, 1400, time.Duration(0), 6*time.Second, 10*time.Second),
		Entry("20 kbit/s", 2_500, 550, time.Duration(0), 30*time.Second, 24*time.Second),
	)

	DescribeTable("catches up on 400 versions within a second from a steward that has restarted", func(count int) {
		setUp(250_000)
		h = newHistory(count)
		steward.fetcher.AdoptIfNewer(h.next())
		reportPeers()
		network.runTo(time.Second)
		for range 400 {
			h.next()
		}
		newest := h.next()
		steward.start(network)
		steward.fetcher.AdoptIfNewer(newest)
		network.receivedBytes = 0
		reportPeers()
		network.runTo(2 * time.Second)
		Expect(gate.current.Committed).To(Equal(newest))
		GinkgoWriter.Printf("%d routes: caught up on 400 versions in %v with %d bytes; the body has %d\n",
			count, gate.appliedAt[newest.Version]-time.Second, network.receivedBytes, len(newest.Body))
		Expect(network.receivedBytes).To(BeNumerically("<", len(newest.Body)/3))
	}, Entry(nil, 550), Entry(nil, 1400))

	It("resumes the transfer of an image at another peer when the first stops answering", func() {
		setUp(20_000)
		h = newHistory(1400)
		newest := h.next()
		steward.fetcher.AdoptIfNewer(newest)
		other.fetcher.AdoptIfNewer(newest)
		gate.fetcher.PeerHolds(steward.member, newest.Version)
		network.runTo(900 * time.Millisecond)
		Expect(gate.current).To(BeNil())
		steward.isDead = true
		gate.fetcher.PeerHolds(other.member, newest.Version)
		network.runTo(10 * time.Second)
		Expect(gate.current.Committed).To(Equal(newest))
		image, err := configcache.Pack(newest)
		Expect(err).NotTo(HaveOccurred())
		Expect(network.receivedBytes).To(BeNumerically("<", image.Size()*14/10))
		Expect(network.calls[len(network.calls)-1].Offset).To(BeNumerically(">", 0))
	})

	It("retries a silent peer until it has failed three times, and asks it again once it is reported again", func() {
		setUp(250_000)
		steward.fetcher.AdoptIfNewer(h.next())
		steward.isDead = true
		reportPeers()
		network.runTo(30 * time.Second)
		Expect(len(network.calls)).To(Equal(3))
		steward.isDead = false
		reportPeers()
		network.runTo(31 * time.Second)
		Expect(gate.current.Committed.Version).To(Equal(steward.current.Committed.Version))
	})

	DescribeTable("rejects an invalid answer of a peer, and fetches from another peer",
		func(corrupt func(*wire.ConfigurationAnswer) *wire.ConfigurationAnswer) {
			setUp(250_000)
			first := h.next()
			gate.fetcher.AdoptIfNewer(first)
			newest := h.next()
			steward.corrupt = corrupt
			steward.fetcher.AdoptIfNewer(newest)
			other.fetcher.AdoptIfNewer(newest)
			gate.fetcher.PeerHolds(steward.member, newest.Version)
			gate.fetcher.PeerHolds(other.member, newest.Version)
			network.runTo(5 * time.Second)
			Expect(gate.current.Committed).To(Equal(newest))
			Expect(gate.appliedAt).To(HaveLen(2))
			Expect(len(network.calls)).To(BeNumerically("<", 12))
		},
		Entry("deltas that don't fit", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Changes: []*wire.ConfigurationDelta{{Base: 77, Version: 9999}}}
		}),
		Entry("a full configuration that can't be read", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Full: &wire.Configuration{Version: 9999, Body: []byte(`"garbage"`)}}
		}),
		Entry("an older version", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Chunk: &wire.ConfigurationChunk{Version: 1, Image: "x", Size: 5, Data: []byte("hello")}}
		}),
		Entry("an image that doesn't match its digest", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Chunk: &wire.ConfigurationChunk{Version: 9999, Image: "x", Size: 5, Data: []byte("hello")}}
		}),
		Entry("a chunk without data", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Chunk: &wire.ConfigurationChunk{Version: 9999, Image: "x", Size: 5}}
		}),
		Entry("a chunk at a negative offset", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Chunk: &wire.ConfigurationChunk{Version: 9999, Image: "x", Size: 50, Offset: -3, Data: []byte("hello")}}
		}),
		Entry("an image that is too large", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Chunk: &wire.ConfigurationChunk{Version: 9999, Image: "x", Size: 1 << 40, Data: []byte("hello")}}
		}),
		Entry("busy", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Busy: true}
		}),
		Entry("an empty answer", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{}
		}),
	)

	It("exchanges full configurations with a peer that knows neither deltas nor chunks", func() {
		setUp(250_000)
		newest := h.next()
		steward.corrupt = func(*wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Full: newest}
		}
		steward.fetcher.AdoptIfNewer(newest)
		reportPeers()
		network.runTo(5 * time.Second)
		Expect(gate.current.Committed).To(Equal(newest))
		Expect(gate.answer(&wire.ConfigurationCall{}).Full).To(Equal(newest))
		Expect(gate.answer(&wire.ConfigurationCall{HeldVersion: 1 << 30}).Full).To(BeNil())
	})
})

var _ = Describe("the image of a configuration", func() {
	DescribeTable("is less than a quarter of the body, and unpacks to the same configuration", func(count int) {
		newest := newHistory(count).next()
		image, err := configcache.Pack(newest)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("%d routes: body %d bytes, image %d bytes\n", count, len(newest.Body), image.Size())
		Expect(image.Size()).To(BeNumerically("<", len(newest.Body)/4))
		unpacked, err := image.Unpack()
		Expect(err).NotTo(HaveOccurred())
		Expect(unpacked).To(Equal(newest))
	}, Entry(nil, 40), Entry(nil, 550), Entry(nil, 1400))
})
