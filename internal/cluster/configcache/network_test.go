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

const latency = 5 * time.Millisecond

type event struct {
	at time.Duration
	do func()
}

// network is a fake clock, and links on which an answer takes as long as its bytes.
type network struct {
	clock  *clock.Fake
	events []event
	// rate is that of the fetching process's link, in bytes a second.
	rate     int
	peers    map[string]*process
	calls    []wire.ConfigurationCall
	received int
	underWay int
	maxAt    int
}

func newNetwork(rate int) *network {
	return &network{clock: clock.NewFake(1), rate: rate, peers: map[string]*process{}}
}

func (n *network) after(wait time.Duration, do func()) {
	n.events = append(n.events, event{n.clock.Monotonic() + wait, do})
}

// runTo carries out what is due until a moment.
func (n *network) runTo(end time.Duration) {
	for {
		next := -1
		for index, element := range n.events {
			if element.at <= end && (next < 0 || element.at < n.events[next].at) {
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
		due.do()
	}
}

// process is one that holds a configuration; answers may be bent, and a dead one is silent.
type process struct {
	member  wire.Member
	fetcher *configcache.Fetcher
	current *configcache.Version
	isDead  bool
	// applying is how long it takes to bring a version into force.
	applying time.Duration
	bend     func(*wire.ConfigurationAnswer) *wire.ConfigurationAnswer
	taken    map[int64]time.Duration
}

func (n *network) add(name string) *process {
	element := &process{member: wire.Member{Name: name, Role: "steward", Address: name}, taken: map[int64]time.Duration{}}
	element.start(n)
	n.peers[name] = element
	return element
}

// start begins a life that remembers nothing.
func (p *process) start(n *network) {
	p.current = nil
	var fetcher *configcache.Fetcher
	fetcher = configcache.NewFetcher(n.clock, logging.Silent(), configcache.Actions{
		Ask: func(address string, call *wire.ConfigurationCall, patience time.Duration) {
			n.carry(fetcher, address, call, patience)
		},
		ResumeAfter: func(after time.Duration) { n.after(after, fetcher.Resume) },
		Use: func(next *configcache.Version) error {
			if strings.HasPrefix(string(next.Committed.Body), `"garbage`) {
				return errors.New(`"garbage`)
			}
			p.current = next
			p.taken[next.Committed.Version] = n.clock.Monotonic()
			n.clock.Advance(p.applying)
			return nil
		}})
	p.fetcher = fetcher
}

func (p *process) answer(call *wire.ConfigurationCall) *wire.ConfigurationAnswer {
	answer := p.current.AnswerTo(call)
	if answer == nil {
		chunk, err := p.fetcher.Chunk(call)
		Expect(err).NotTo(HaveOccurred())
		answer = &wire.ConfigurationAnswer{Chunk: chunk}
	}
	if p.bend != nil {
		answer = p.bend(answer)
	}
	return answer
}

func (n *network) carry(fetcher *configcache.Fetcher, address string, call *wire.ConfigurationCall, patience time.Duration) {
	n.calls = append(n.calls, *call)
	n.underWay++
	n.maxAt = max(n.maxAt, n.underWay)
	end := func(answer *wire.ConfigurationAnswer, err error) func() {
		return func() {
			n.underWay--
			fetcher.HandleAnswer(address, call, answer, err)
		}
	}
	peer := n.peers[address]
	if peer.isDead {
		n.after(patience, end(nil, errors.Annotate(peerapi.ErrStalled, address)))
		return
	}
	answer := peer.answer(call)
	text, err := easyjson.Marshal(answer)
	Expect(err).NotTo(HaveOccurred())
	arrived := &wire.ConfigurationAnswer{}
	Expect(easyjson.Unmarshal(text, arrived)).To(Succeed())
	n.received += len(text)
	n.after(latency+time.Duration(len(text))*time.Second/time.Duration(n.rate), end(arrived, nil))
}

// history is a list of versions like an operator's: routes with names of chance, a few changed in each.
type history struct {
	draw   *rand.Rand
	routes []string
	last   int64
}

func newHistory(count int) *history {
	h := &history{draw: rand.New(rand.NewPCG(7, 11))}
	for range count {
		h.routes = append(h.routes, h.route())
	}
	return h
}

func (h *history) randomWord(length int) string {
	var text strings.Builder
	for range length {
		text.WriteByte(byte('a' + h.draw.IntN(26)))
	}
	return text.String()
}

func (h *history) route() string {
	return fmt.Sprintf(`{"name":"r-%s","host":"%s.example","path-prefix":"/%s%d/","route-type":"non_idempotent","timeout-ms":%d,"target-latency-ms":200,"priority":0,"service":"s","max-attempts":2,"stretch-factor":1.5}`,
		h.randomWord(7), h.randomWord(6), h.randomWord(4), h.draw.IntN(999), 1000+h.draw.IntN(9000))
}

func (h *history) next() *wire.Configuration {
	h.last += int64(1 + h.draw.IntN(3))
	h.routes[h.draw.IntN(len(h.routes))] = h.route()
	return committedVersion(h.last, []byte(fmt.Sprintf(`{"config-version":%d,"route-list":[%s],"service-list":[{"name":"s"}],"limits":{"max-header-bytes":16384}}`,
		h.last, strings.Join(h.routes, ","))))
}

// storm lets a steward hold a new version at every gap, and the fetching process hear of it.
func (n *network) storm(h *history, gate *process, from, gap, length time.Duration, holders ...*process) {
	for at := time.Duration(0); at < length; at += gap {
		n.events = append(n.events, event{from + at, func() {
			next := h.next()
			for _, holder := range holders {
				holder.fetcher.Hold(next)
			}
			for _, holder := range holders {
				gate.fetcher.PeerHolds(holder.member, next.Version)
			}
		}})
	}
}

var _ = Describe("a process behind a slow link", func() {
	const routesHeld = 550
	var network *network
	var h *history
	var steward, other, gate *process
	begin := func(rate int) {
		network, h = newNetwork(rate), newHistory(routesHeld)
		steward, other, gate = network.add("steward"), network.add("other"), network.add("gate")
	}
	hear := func() {
		for _, element := range []*process{steward, other} {
			if element.current != nil {
				gate.fetcher.PeerHolds(element.member, element.current.Committed.Version)
			}
		}
	}

	DescribeTable("follows a storm of versions, one call at a time, and is not starved", func(rate, count int, applying, behind, length time.Duration) {
		begin(rate)
		h = newHistory(count)
		gate.applying = applying
		network.storm(h, gate, 0, 100*time.Millisecond, length, steward)
		network.runTo(length)
		newest := h.last
		network.runTo(length + behind)
		Expect(gate.current.Committed.Version).To(Equal(newest))
		Expect(gate.current.Committed.Body).To(Equal(steward.current.Committed.Body))
		Expect(network.maxAt).To(Equal(1))
		var last, longest time.Duration
		var times []time.Duration
		for _, at := range gate.taken {
			times = append(times, at)
		}
		slices.Sort(times)
		for _, at := range times {
			longest, last = max(longest, at-last), at
		}
		GinkgoWriter.Printf("%d B/s, %d routes, %v to apply: %d of %d versions taken, the longest gap %v, %d bytes\n", rate, count, applying, len(times), length/(100*time.Millisecond), longest, network.received)
		Expect(longest).To(BeNumerically("<", behind))
	},
		Entry("2 Mbit/s", 250_000, 550, time.Duration(0), 500*time.Millisecond, 24*time.Second),
		Entry("2 Mbit/s and a slow processor", 250_000, 550, 60*time.Millisecond, time.Second, 24*time.Second),
		Entry("a tenth of it", 25_000, 550, time.Duration(0), 3*time.Second, 24*time.Second),
		Entry("2 Mbit/s, a slow processor and 1,400 routes", 250_000, 1400, 150*time.Millisecond, 2*time.Second, 10*time.Second),
		Entry("a tenth of it and 1,400 routes", 25_000, 1400, time.Duration(0), 6*time.Second, 10*time.Second),
		Entry("a hundredth of it", 2_500, 550, time.Duration(0), 30*time.Second, 24*time.Second),
	)

	DescribeTable("makes up for 400 versions from a steward that has restarted, within a second", func(count int) {
		begin(250_000)
		h = newHistory(count)
		steward.fetcher.Hold(h.next())
		hear()
		network.runTo(time.Second)
		for range 400 {
			h.next()
		}
		newest := h.next()
		steward.start(network)
		steward.fetcher.Hold(newest)
		network.received = 0
		hear()
		network.runTo(2 * time.Second)
		Expect(gate.current.Committed).To(Equal(newest))
		GinkgoWriter.Printf("%d routes: 400 versions made up for in %v with %d bytes; the body has %d\n",
			count, gate.taken[newest.Version]-time.Second, network.received, len(newest.Body))
		Expect(network.received).To(BeNumerically("<", len(newest.Body)/3))
	}, Entry(nil, 550), Entry(nil, 1400))

	It("goes on where a peer went silent, at another that holds the same image", func() {
		begin(20_000)
		h = newHistory(1400)
		newest := h.next()
		steward.fetcher.Hold(newest)
		other.fetcher.Hold(newest)
		gate.fetcher.PeerHolds(steward.member, newest.Version)
		network.runTo(900 * time.Millisecond)
		Expect(gate.current).To(BeNil())
		steward.isDead = true
		gate.fetcher.PeerHolds(other.member, newest.Version)
		network.runTo(10 * time.Second)
		Expect(gate.current.Committed).To(Equal(newest))
		image, err := configcache.Pack(newest)
		Expect(err).NotTo(HaveOccurred())
		Expect(network.received).To(BeNumerically("<", image.Size()*14/10))
		Expect(network.calls[len(network.calls)-1].Offset).To(BeNumerically(">", 0))
	})

	It("asks a peer that was silent again, with pauses that grow, until one answers", func() {
		begin(250_000)
		steward.fetcher.Hold(h.next())
		steward.isDead = true
		hear()
		network.runTo(30 * time.Second)
		Expect(len(network.calls)).To(Equal(3))
		steward.isDead = false
		hear()
		network.runTo(31 * time.Second)
		Expect(gate.current.Committed.Version).To(Equal(steward.current.Committed.Version))
	})

	DescribeTable("takes nothing of a peer that answers nonsense, and goes on at another",
		func(bend func(*wire.ConfigurationAnswer) *wire.ConfigurationAnswer) {
			begin(250_000)
			first := h.next()
			gate.fetcher.Hold(first)
			newest := h.next()
			steward.bend = bend
			steward.fetcher.Hold(newest)
			other.fetcher.Hold(newest)
			gate.fetcher.PeerHolds(steward.member, newest.Version)
			gate.fetcher.PeerHolds(other.member, newest.Version)
			network.runTo(5 * time.Second)
			Expect(gate.current.Committed).To(Equal(newest))
			Expect(gate.taken).To(HaveLen(2))
			Expect(len(network.calls)).To(BeNumerically("<", 12))
		},
		Entry("changes that don't fit", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Changes: []*wire.ConfigurationDelta{{Base: 77, Version: 9999}}}
		}),
		Entry("a whole that can't be read", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Full: &wire.Configuration{Version: 9999, Body: []byte(`"garbage"`)}}
		}),
		Entry("an older version", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Chunk: &wire.ConfigurationChunk{Version: 1, Image: "x", Size: 5, Data: []byte("hello")}}
		}),
		Entry("data of another digest", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Chunk: &wire.ConfigurationChunk{Version: 9999, Image: "x", Size: 5, Data: []byte("hello")}}
		}),
		Entry("no data", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Chunk: &wire.ConfigurationChunk{Version: 9999, Image: "x", Size: 5}}
		}),
		Entry("a chunk at no place", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Chunk: &wire.ConfigurationChunk{Version: 9999, Image: "x", Size: 50, Offset: -3, Data: []byte("hello")}}
		}),
		Entry("an image of any size", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Chunk: &wire.ConfigurationChunk{Version: 9999, Image: "x", Size: 1 << 40, Data: []byte("hello")}}
		}),
		Entry("that it is busy", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Busy: true}
		}),
		Entry("nothing", func(_ *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{}
		}),
	)

	It("takes the whole from a peer of an earlier version, and gives it to one", func() {
		begin(250_000)
		newest := h.next()
		steward.bend = func(*wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
			return &wire.ConfigurationAnswer{Full: newest}
		}
		steward.fetcher.Hold(newest)
		hear()
		network.runTo(5 * time.Second)
		Expect(gate.current.Committed).To(Equal(newest))
		Expect(gate.answer(&wire.ConfigurationCall{}).Full).To(Equal(newest))
		Expect(gate.answer(&wire.ConfigurationCall{HeldVersion: 1 << 30}).Full).To(BeNil())
	})
})

var _ = Describe("an image", func() {
	DescribeTable("is small, and gives the same version back", func(count int) {
		newest := newHistory(count).next()
		image, err := configcache.Pack(newest)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("%d routes: body %d bytes, image %d bytes\n", count, len(newest.Body), image.Size())
		Expect(image.Size()).To(BeNumerically("<", len(newest.Body)/4))
		again, err := image.Unpack()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(newest))
	}, Entry(nil, 40), Entry(nil, 550), Entry(nil, 1400))
})
