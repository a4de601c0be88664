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

func (s *scriptedLeadership) commitAll() {
	waiting := s.pending
	s.pending = nil
	for _, done := range waiting {
		done(nil)
	}
}

// commitInto settles each commit at once, and keeps what is written as a disk would.
func (s *scriptedLeadership) commitInto(kept map[string][]byte) {
	for len(s.pending) > 0 {
		for _, op := range s.ops {
			if len(op.Value) == 0 {
				delete(kept, op.Name)
			} else {
				kept[op.Name] = op.Value
			}
		}
		s.commitAll()
	}
}

func pairsOf(kept map[string][]byte) []wire.Op {
	var pairs []wire.Op
	for name, value := range kept {
		pairs = append(pairs, wire.Op{Name: name, Value: value})
	}
	return pairs
}

var _ = It("gives the parts of the tenants' count their first voters with the first configuration that has tenants", func() {
	leadership, kept := &scriptedLeadership{hasLease: true}, map[string][]byte{}
	var published *wire.Configuration
	leader := configleader.New(logging.Silent(), func(committed *wire.Configuration) { published = committed })
	Expect(leader.Open(leadership, nil)).To(Succeed())
	replace := func(version, base int64, tenants string) {
		body := strings.Replace(string(configurationBody(int(version), "s")), `"service-list"`, tenants+`"service-list"`, 1)
		leader.Replace(&wire.ClientCall{Base: base, Body: []byte(body)}, func(answer wire.ClientAnswer) { Expect(answer.Status).To(Equal(200)) })
		leadership.commitInto(kept)
	}
	replace(1, 0, "")
	Expect(published.InitialVoters).To(HaveLen(1))
	for version := int64(2); version < 4; version++ {
		replace(version, version-1, `"tenant-list":[{"name":"t"}],`)
		Expect(published.InitialVoters).To(HaveLen(1 + tenantcount.Parts))
		Expect(published.InitialVoters[1]).To(Equal(wire.InitialVoters{Key: "count/0", Voters: []string{"a", "b", "c"}}))
	}
})

func configurationBody(version int, service string) []byte {
	return []byte(fmt.Sprintf(`{"config-version":%d,"route-list":[{"name":"r","host":"h","path-prefix":"/","timeout-ms":1,"service":"%s"}],"service-list":[{"name":"%s"}]}`,
		version, service, service))
}

var _ = Describe("the configuration's leader", func() {
	var leadership *scriptedLeadership
	var leader *configleader.Leader
	var published []int64
	var passedOn *wire.Configuration
	BeforeEach(func() {
		leadership, published = &scriptedLeadership{hasLease: true}, nil
		leader = configleader.New(logging.Silent(), func(committed *wire.Configuration) {
			published, passedOn = append(published, committed.Version), committed
		})
		Expect(leader.Open(leadership, nil)).To(Succeed())
	})
	replace := func(base int64, body []byte) *wire.ClientAnswer {
		var response *wire.ClientAnswer
		leader.Replace(&wire.ClientCall{Base: base, Body: body}, func(answer wire.ClientAnswer) { response = &answer })
		return response
	}

	It("acknowledges a configuration, and passes it on, only after the commit", func() {
		Expect(replace(0, configurationBody(3, "s"))).To(BeNil())
		Expect(published).To(BeEmpty())
		leadership.commitAll()
		Expect(published).To(Equal([]int64{3}))
	})

	It("lets one of two on the same base win, and takes the same plan again", func() {
		replace(0, configurationBody(3, "s"))
		var second wire.ClientAnswer
		leader.Replace(&wire.ClientCall{Base: 0, Body: configurationBody(4, "s")}, func(answer wire.ClientAnswer) { second = answer })
		Expect(second).To(BeZero())
		leadership.commitAll()
		Expect(second.Status).To(Equal(412))
		Expect(second.Current).To(Equal(int64(3)))
		Expect(replace(0, configurationBody(4, "s")).Status).To(Equal(412))
		Expect(replace(0, configurationBody(3, "s")).Status).To(Equal(200))
		Expect(replace(3, configurationBody(3, "x")).Status).To(Equal(400))
		Expect(replace(3, []byte(`{"config-version":9}`))).To(BeNil())
	})

	It("takes over what was committed, and remembers where entries went before", func() {
		replace(0, configurationBody(3, "s"))
		leadership.commitAll()
		replace(3, configurationBody(5, "t"))
		leadership.commitAll()
		next := configleader.New(logging.Silent(), func(*wire.Configuration) {})
		Expect(next.Open(leadership, leadership.ops)).To(Succeed())
		var body string
		next.Retrieve(func(answer wire.ClientAnswer) { body = string(answer.Body) })
		Expect(body).To(Equal(string(configurationBody(5, "t"))))
		Expect(string(leadership.ops[0].Value)).To(ContainSubstring(`"moved":[{"entry":"r","services":["s"]}]`))
		Expect(string(leadership.ops[0].Value)).To(ContainSubstring(`"births":[{"service":"s","voters":["a","b","c"]}`))
	})

	It("gives back the very bytes, and passes on the body without the space around it", func() {
		sent := append([]byte(" \n"), append(configurationBody(3, "s"), '\n')...)
		replace(0, sent)
		leadership.commitAll()
		leader.Retrieve(func(answer wire.ClientAnswer) { Expect([]byte(answer.Body)).To(Equal(sent)) })
		Expect([]byte(passedOn.Body)).To(Equal(configurationBody(3, "s")))
		Expect(passedOn.InitialVoters).To(HaveLen(1))
		Expect(passedOn.Confirmed).To(BeEmpty())
	})

	It("shows nothing without a lease", func() {
		replace(0, configurationBody(3, "s"))
		leadership.commitAll()
		leadership.hasLease = false
		var response wire.ClientAnswer
		leader.Retrieve(func(answer wire.ClientAnswer) { response = answer })
		Expect(response.NotLeader).To(BeTrue())
		Expect(replace(0, configurationBody(9, "s")).NotLeader).To(BeTrue())
	})
})

var _ = Describe("the keys that a configuration begins", func() {
	const services = `"service-list":[{"name":"jobs"},{"name":"model"}],`
	keysOf := func(disks []string, routes string) []wire.InitialVoters {
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

	It("are no pools for services whose routes only pass requests on, and one for lots on storage disks", func() {
		Expect(keysOf([]string{"x", "y", "z", "w"}, route("a", "non_idempotent", "jobs")+","+route("b", "streaming", "model")+","+route("c", "batch", "model"))).To(Equal(
			[]wire.InitialVoters{{Service: "jobs", Voters: []string{"a", "b", "c"}}, {Key: wire.LotsKey, Voters: []string{"x", "y", "z"}}}))
	})

	It("are none for lots while there is no disk to keep them on, nor without a route that takes them", func() {
		Expect(keysOf(nil, route("c", "batch", "model"))).To(Equal([]wire.InitialVoters{{Service: "jobs", Voters: []string{"a", "b", "c"}}}))
		Expect(keysOf([]string{"x"}, route("b", "streaming", "model"))).To(HaveLen(1))
	})

	It("are those of standing keys with any configuration", func() {
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
