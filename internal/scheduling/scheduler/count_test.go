package scheduler_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// waitingCount asks the pool for the number of waiting jobs of a queue.
func (f *fleet) waitingCount(route string, formerRoutes ...string) int {
	var answer wire.ClientAnswer
	f.pool.Count(&wire.ClientCall{Route: route, FormerRoutes: formerRoutes}, func(counted wire.ClientAnswer) { answer = counted })
	f.settle()
	Expect(answer.Status).To(Equal(200))
	var body struct {
		Count int `json:"waiting-count"`
	}
	Expect(json.Unmarshal(answer.Body, &body)).To(Succeed())
	return body.Count
}

var _ = Describe("the waiting count of a queue", func() {
	const body = `{"task-descriptor":"d","step-list":[{"task-count":2,"cpu-units":8000,"memory-req-mb":10,"estimated-ms":900}]}`
	terms := wire.RouteTerms{MaxAttempts: 3, Stretch: 2, TargetMs: 1000}
	id := func(number int) string { return fmt.Sprintf("%016x", number) }

	// A machine that is connected to its peers must count at least half of the accepted jobs that have not started.
	It("counts accepted jobs without a started task, also under the next leader", func() {
		f := newFleet(timing)
		for number := range 5 {
			f.submitJob(id(number), terms, body)
		}
		Expect(f.waitingCount("e")).To(Equal(5))
		Expect(f.waitingCount("another")).To(BeZero())
		f.add(1, wire.Capacity{CPU: 16000, Memory: 4000}, "a")
		f.pass(4 * fleetTick)
		Expect(f.starts()).To(Equal(2))
		Expect(f.waitingCount("e")).To(Equal(4))
		f.takeOver()
		f.pass(4 * fleetTick)
		Expect(f.waitingCount("e")).To(Equal(4))
	})

	// Guards against a count of 0 after a queue with waiting jobs has got another name.
	It("includes the jobs that were submitted under a former name of the queue", func() {
		f := newFleet(timing)
		f.submitJob(id(1), terms, body)
		Expect(f.waitingCount("renamed", "e")).To(Equal(1))
		Expect(f.waitingCount("renamed", "e", "another")).To(Equal(1))
		Expect(f.waitingCount("renamed")).To(BeZero())
	})

	It("leaves out cancelled jobs", func() {
		f := newFleet(timing)
		f.submitJob(id(1), terms, body)
		f.submitJob(id(2), terms, body)
		f.pool.Cancel(&wire.ClientCall{Route: "e", ID: id(1)}, func(wire.ClientAnswer) {})
		f.settle()
		f.pass(time.Second)
		Expect(f.waitingCount("e")).To(Equal(1))
	})
})
