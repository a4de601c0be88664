package configleader_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/tenantcount"
)

// scriptedLeadership holds each commit until the test completes it.
type scriptedLeadership struct {
	hasLease bool
	pending  []func(error)
	ops      []wire.Op
}

func (s *scriptedLeadership) Commit(ops []wire.Op, done func(error)) {
	s.ops, s.pending = ops, append(s.pending, done)
}
func (s *scriptedLeadership) HasLease() bool   { return s.hasLease }
func (s *scriptedLeadership) Voters() []string { return []string{"a", "b", "c"} }
func (s *scriptedLeadership) WallMs() int64    { return 1000 }

// commitAll completes the pending commits with success.
func (s *scriptedLeadership) commitAll() {
	completed := s.pending
	s.pending = nil
	for _, done := range completed {
		done(nil)
	}
}

// commitInto completes commits until none is pending, and applies their ops to the stored records.
func (s *scriptedLeadership) commitInto(stored map[string][]byte) {
	for len(s.pending) > 0 {
		for _, op := range s.ops {
			if len(op.Value) == 0 {
				delete(stored, op.Name)
			} else {
				stored[op.Name] = op.Value
			}
		}
		s.commitAll()
	}
}

func listPairs(stored map[string][]byte) []wire.Op {
	var pairs []wire.Op
	for name, value := range stored {
		pairs = append(pairs, wire.Op{Name: name, Value: value})
	}
	return pairs
}

var _ = It("adds the initial voters of the tenant count with the first configuration that has tenants", func() {
	leadership, stored := &scriptedLeadership{hasLease: true}, map[string][]byte{}
	var published *wire.Configuration
	leader := configleader.New(logging.Silent(), func(committed *wire.Configuration) { published = committed })
	Expect(leader.Open(leadership, nil)).To(Succeed())
	replace := func(version, base int64, tenants string) {
		body := strings.Replace(string(newBody(int(version), "s")), `"service-list"`, tenants+`"service-list"`, 1)
		leader.Replace(&wire.ClientCall{Base: base, Body: []byte(body)}, func(answer wire.ClientAnswer) { Expect(answer.Status).To(Equal(200)) })
		leadership.commitInto(stored)
	}
	replace(1, 0, "")
	Expect(published.InitialVoters).To(HaveLen(1))
	for version := int64(2); version < 4; version++ {
		replace(version, version-1, `"tenant-list":[{"name":"t"}],`)
		Expect(published.InitialVoters).To(HaveLen(1 + tenantcount.Parts))
		Expect(published.InitialVoters[1]).To(Equal(wire.InitialVoters{Key: "count/0", Voters: []string{"a", "b", "c"}}))
	}
})

func newBody(version int, service string) []byte {
	return []byte(fmt.Sprintf(`{"config-version":%d,"route-list":[{"name":"r","host":"h","path-prefix":"/","timeout-ms":1,"service":"%s"}],"service-list":[{"name":"%s"}]}`,
		version, service, service))
}

var _ = Describe("the configuration's leader", func() {
	var leadership *scriptedLeadership
	var leader *configleader.Leader
	var published []int64
	var lastPublished *wire.Configuration
	BeforeEach(func() {
		leadership, published = &scriptedLeadership{hasLease: true}, nil
		leader = configleader.New(logging.Silent(), func(committed *wire.Configuration) {
			published, lastPublished = append(published, committed.Version), committed
		})
		Expect(leader.Open(leadership, nil)).To(Succeed())
	})
	replace := func(base int64, body []byte) *wire.ClientAnswer {
		var response *wire.ClientAnswer
		leader.Replace(&wire.ClientCall{Base: base, Body: body}, func(answer wire.ClientAnswer) { response = &answer })
		return response
	}

	It("confirms and publishes a configuration only after the commit", func() {
		Expect(replace(0, newBody(3, "s"))).To(BeNil())
		Expect(published).To(BeEmpty())
		leadership.commitAll()
		Expect(published).To(Equal([]int64{3}))
	})

	It("commits one of two changes with the same base, and confirms a repeated change again", func() {
		replace(0, newBody(3, "s"))
		var second wire.ClientAnswer
		leader.Replace(&wire.ClientCall{Base: 0, Body: newBody(4, "s")}, func(answer wire.ClientAnswer) { second = answer })
		Expect(second).To(BeZero())
		leadership.commitAll()
		Expect(second.Status).To(Equal(412))
		Expect(second.Current).To(Equal(int64(3)))
		Expect(replace(0, newBody(4, "s")).Status).To(Equal(412))
		Expect(replace(0, newBody(3, "s")).Status).To(Equal(200))
		Expect(replace(3, newBody(3, "x")).Status).To(Equal(400))
		Expect(replace(3, []byte(`{"config-version":9}`))).To(BeNil())
	})

	It("reads the committed configuration after a change of leader, and keeps the former services of routes", func() {
		replace(0, newBody(3, "s"))
		leadership.commitAll()
		replace(3, newBody(5, "t"))
		leadership.commitAll()
		next := configleader.New(logging.Silent(), func(*wire.Configuration) {})
		Expect(next.Open(leadership, leadership.ops)).To(Succeed())
		var body string
		next.Retrieve(func(answer wire.ClientAnswer) { body = string(answer.Body) })
		Expect(body).To(Equal(string(newBody(5, "t"))))
		Expect(string(leadership.ops[0].Value)).To(ContainSubstring(`"moved":[{"entry":"r","services":["s"]}]`))
		Expect(string(leadership.ops[0].Value)).To(ContainSubstring(`"births":[{"service":"s","voters":["a","b","c"]}`))
	})

	It("returns the body byte for byte, and publishes it without the white space around it", func() {
		sent := append([]byte(" \n"), append(newBody(3, "s"), '\n')...)
		replace(0, sent)
		leadership.commitAll()
		leader.Retrieve(func(answer wire.ClientAnswer) { Expect([]byte(answer.Body)).To(Equal(sent)) })
		Expect([]byte(lastPublished.Body)).To(Equal(newBody(3, "s")))
		Expect(lastPublished.InitialVoters).To(HaveLen(1))
		Expect(lastPublished.Confirmed).To(BeEmpty())
	})

	It("answers NotLeader without a lease", func() {
		replace(0, newBody(3, "s"))
		leadership.commitAll()
		leadership.hasLease = false
		var response wire.ClientAnswer
		leader.Retrieve(func(answer wire.ClientAnswer) { response = answer })
		Expect(response.NotLeader).To(BeTrue())
		Expect(replace(0, newBody(9, "s")).NotLeader).To(BeTrue())
	})
})

var _ = Describe("the initial voters in a configuration", func() {
	const services = `"service-list":[{"name":"jobs"},{"name":"model"}],`
	commitWith := func(disks []string, routes string) []wire.InitialVoters {
		leadership := &scriptedLeadership{hasLease: true}
		var published *wire.Configuration
		leader := configleader.New(logging.Silent(), func(committed *wire.Configuration) { published = committed },
			configleader.WithStorageDisks(func() []string { return disks }, 3))
		Expect(leader.Open(leadership, nil)).To(Succeed())
		leader.Replace(&wire.ClientCall{Body: []byte(`{"config-version":1,` + services + `"route-list":[` + routes + `]}`)}, func(wire.ClientAnswer) {})
		leadership.commitAll()
		return published.InitialVoters
	}
	route := func(name, kind, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":"/%s/","route-type":%q,"timeout-ms":9,"service":%q}`, name, name, kind, service)
	}

	It("exclude services whose routes only forward requests, and include the lots on storage disks", func() {
		Expect(commitWith([]string{"x", "y", "z", "w"}, route("a", "non_idempotent", "jobs")+","+route("b", "streaming", "model")+","+route("c", "batch", "model"))).To(Equal(
			[]wire.InitialVoters{{Service: "jobs", Voters: []string{"a", "b", "c"}}, {Key: wire.LotsKey, Voters: []string{"x", "y", "z"}}}))
	})

	It("exclude the lots if there is no storage disk or no route accepts lots", func() {
		Expect(commitWith(nil, route("c", "batch", "model"))).To(Equal([]wire.InitialVoters{{Service: "jobs", Voters: []string{"a", "b", "c"}}}))
		Expect(commitWith([]string{"x"}, route("b", "streaming", "model"))).To(HaveLen(1))
	})

	It("include the fixed keys whatever the configuration says", func() {
		leadership := &scriptedLeadership{hasLease: true}
		var published *wire.Configuration
		leader := configleader.New(logging.Silent(), func(committed *wire.Configuration) { published = committed },
			configleader.WithFixedKeys([]string{"coordination/0"}))
		Expect(leader.Open(leadership, nil)).To(Succeed())
		for version := 1; version <= 2; version++ {
			leader.Replace(&wire.ClientCall{Base: int64(version - 1), Body: fmt.Appendf(nil, `{"config-version":%d}`, version)}, func(wire.ClientAnswer) {})
			leadership.commitAll()
			Expect(published.Version).To(Equal(int64(version)))
			Expect(published.InitialVoters).To(Equal([]wire.InitialVoters{{Key: "coordination/0", Voters: []string{"a", "b", "c"}}}))
		}
	})
})
