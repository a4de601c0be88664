package configleader_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/platform/logging"
)

type scripted struct {
	hasLease bool
	waiting  []func(error)
	ops      []wire.Op
}

func (s *scripted) Commit(ops []wire.Op, done func(error)) {
	s.ops, s.waiting = ops, append(s.waiting, done)
}
func (s *scripted) HasLease() bool   { return s.hasLease }
func (s *scripted) Voters() []string { return []string{"a", "b", "c"} }

func (s *scripted) settle() {
	waiting := s.waiting
	s.waiting = nil
	for _, done := range waiting {
		done(nil)
	}
}

// keep settles each commit at once, and keeps what is written as a disk would.
func (s *scripted) keep(kept map[string][]byte) {
	for len(s.waiting) > 0 {
		for _, op := range s.ops {
			if len(op.Value) == 0 {
				delete(kept, op.Name)
			} else {
				kept[op.Name] = op.Value
			}
		}
		s.settle()
	}
}

func pairsOf(kept map[string][]byte) []wire.Op {
	var pairs []wire.Op
	for name, value := range kept {
		pairs = append(pairs, wire.Op{Name: name, Value: value})
	}
	return pairs
}

func plan(version int, service string) []byte {
	return []byte(fmt.Sprintf(`{"config-version":%d,"route-list":[{"name":"r","host":"h","path-prefix":"/","timeout-ms":1,"service":"%s"}],"service-list":[{"name":"%s"}]}`,
		version, service, service))
}

var _ = Describe("the plan's owner", func() {
	var tenure *scripted
	var owner *configleader.Leader
	var published []int64
	var passedOn *wire.Configuration
	BeforeEach(func() {
		tenure, published = &scripted{hasLease: true}, nil
		owner = configleader.New(logging.Silent(), func(fact *wire.Configuration) {
			published, passedOn = append(published, fact.Version), fact
		})
		Expect(owner.Open(tenure, nil)).To(Succeed())
	})
	replace := func(base int64, body []byte) *wire.ClientAnswer {
		var told *wire.ClientAnswer
		owner.Replace(&wire.ClientCall{Base: base, Body: body}, func(answer wire.ClientAnswer) { told = &answer })
		return told
	}

	It("acknowledges a plan, and passes it on, only after the commit", func() {
		Expect(replace(0, plan(3, "s"))).To(BeNil())
		Expect(published).To(BeEmpty())
		tenure.settle()
		Expect(published).To(Equal([]int64{3}))
	})

	It("lets one of two on the same base win, and takes the same plan again", func() {
		replace(0, plan(3, "s"))
		var second wire.ClientAnswer
		owner.Replace(&wire.ClientCall{Base: 0, Body: plan(4, "s")}, func(answer wire.ClientAnswer) { second = answer })
		Expect(second).To(BeZero())
		tenure.settle()
		Expect(second.Status).To(Equal(412))
		Expect(second.Current).To(Equal(int64(3)))
		Expect(replace(0, plan(4, "s")).Status).To(Equal(412))
		Expect(replace(0, plan(3, "s")).Status).To(Equal(200))
		Expect(replace(3, plan(3, "x")).Status).To(Equal(400))
		Expect(replace(3, []byte(`{"config-version":9}`))).To(BeNil())
	})

	It("takes over what was committed, and remembers where entries went before", func() {
		replace(0, plan(3, "s"))
		tenure.settle()
		replace(3, plan(5, "t"))
		tenure.settle()
		next := configleader.New(logging.Silent(), func(*wire.Configuration) {})
		Expect(next.Open(tenure, tenure.ops)).To(Succeed())
		var body string
		next.Retrieve(func(answer wire.ClientAnswer) { body = string(answer.Body) })
		Expect(body).To(Equal(string(plan(5, "t"))))
		Expect(string(tenure.ops[0].Value)).To(ContainSubstring(`"moved":[{"entry":"r","services":["s"]}]`))
		Expect(string(tenure.ops[0].Value)).To(ContainSubstring(`"births":[{"service":"s","voters":["a","b","c"]}`))
	})

	It("gives back the very bytes, and passes on the body without the space around it", func() {
		sent := append([]byte(" \n"), append(plan(3, "s"), '\n')...)
		replace(0, sent)
		tenure.settle()
		owner.Retrieve(func(answer wire.ClientAnswer) { Expect([]byte(answer.Body)).To(Equal(sent)) })
		Expect([]byte(passedOn.Body)).To(Equal(plan(3, "s")))
		Expect(passedOn.InitialVoters).To(HaveLen(1))
		Expect(passedOn.Confirmed).To(BeEmpty())
	})

	It("shows nothing without a lease", func() {
		replace(0, plan(3, "s"))
		tenure.settle()
		tenure.hasLease = false
		var told wire.ClientAnswer
		owner.Retrieve(func(answer wire.ClientAnswer) { told = answer })
		Expect(told.Elsewhere).To(BeTrue())
		Expect(replace(0, plan(9, "s")).Elsewhere).To(BeTrue())
	})
})
