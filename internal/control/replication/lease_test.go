package replication_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/mailbox"
)

// newTable returns a voter's table of replicas on a fake clock, with an empty disk.
func newTable(clock *clock.Fake) *replication.Replicas {
	disk := newDisk("disk-a")
	table, err := replication.NewReplicas(mailbox.New(64), disk, clock, 700*time.Millisecond)
	Expect(err).NotTo(HaveOccurred())
	return table
}

var _ = Describe("a voter's lease", func() {
	It("is not ended by a late release of an earlier leader", func() {
		table := newTable(clock.NewFake(1))
		ignore := func(wire.AppendAnswer) {}
		table.Append(wire.AppendCall{Key: key, Epoch: 2, Disk: "disk-b", Leader: "b"}, ignore)
		table.Append(wire.AppendCall{Key: key, Epoch: 1, Disk: "disk-c", Leader: "c", Release: true}, ignore)
		isGranted := true
		table.Promise(wire.PromiseCall{Key: key, Epoch: 3, Disk: "disk-c", PreVote: true}, func(answer wire.PromiseAnswer) {
			isGranted = answer.Granted
		})
		Expect(isGranted).To(BeFalse())
	})

	It("is not taken over by a late heartbeat of an earlier leader, whose disk gets no promise meanwhile", func() {
		table := newTable(clock.NewFake(1))
		table.Append(wire.AppendCall{Key: key, Epoch: 3, Disk: "disk-c", Leader: "c"}, func(wire.AppendAnswer) {})
		var lateAnswer wire.AppendAnswer
		table.Append(wire.AppendCall{Key: key, Epoch: 1, Disk: "disk-a", Leader: "a"}, func(answer wire.AppendAnswer) { lateAnswer = answer })
		Expect(lateAnswer.Taken).To(BeFalse())
		Expect(lateAnswer.Promised).To(Equal(uint64(3)))
		isGranted := true
		table.Promise(wire.PromiseCall{Key: key, Epoch: 4, Disk: "disk-a", PreVote: true}, func(answer wire.PromiseAnswer) {
			isGranted = answer.Granted
		})
		Expect(isGranted).To(BeFalse())
	})

	for _, driftsPerMille := range [][]int64{{-10, 10, 10}, {10, -10, -10}} {
		It(fmt.Sprintf("ends at the leader before it ends at the voter, with clock drifts of %v per mille", driftsPerMille), func() {
			for seed := range uint64(12) {
				c := newTestCluster(900+seed, "a", "b", "c")
				for index, node := range c.nodes {
					node.clock.driftPerMille = driftsPerMille[index]
				}
				for range 4 {
					c.runUntil(func() bool { return c.leader() != nil })
					c.runWithWrites(300 * time.Millisecond)
					leader := c.leader()
					c.isolated[leader.name] = true
					c.runWithWrites(2 * time.Second)
					c.heal()
					c.runWithWrites(500 * time.Millisecond)
				}
				Expect(c.violations).To(BeEmpty())
			}
		})
	}

	It("is counted by the leader from the sending of the call, however late the answer arrives", func() {
		for seed := range uint64(12) {
			c := newTestCluster(980+seed, "a", "b", "c")
			c.run(2 * time.Second)
			leader := c.leader()
			for _, node := range c.others() {
				node.delay = 600 * time.Millisecond
			}
			c.runWithWrites(time.Duration(1000+50*seed) * time.Millisecond)
			for _, node := range c.nodes {
				if node != leader {
					c.blockedLinks[leader.name+">"+node.name], node.delay = true, 0
				}
			}
			c.runWithWrites(2 * time.Second)
			Expect(c.leader()).NotTo(Equal(leader))
			Expect(c.violations).To(BeEmpty())
		}
	})
})
