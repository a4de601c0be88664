package scheduler_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/testsupport/golden"
)

// storedRecords reads a file with the records of a pool of an earlier version. Each line holds a name, a tab and the value.
func storedRecords(path string) []wire.Op {
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	var records []wire.Op
	for line := range strings.Lines(string(text)) {
		name, value, hasValue := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		Expect(hasValue).To(BeTrue())
		records = append(records, wire.Op{Name: name, Value: []byte(value)})
	}
	return records
}

// A changed record format would lose the jobs and runs that were stored before an upgrade.
var _ = Describe("a pool stored by an earlier version", func() {
	It("is loaded with all jobs and runs", func() {
		clock := clock.NewFake(1796206542000)
		leadership := &scriptedLeadership{clock: clock, epoch: 1 << 40, hasLease: true, records: map[string][]byte{}}
		pool := scheduler.New("pool/demo", clock, timing, logging.Silent())
		pool.Open(leadership, storedRecords("testdata/pool-records.txt"))
		pool.Flush()
		clock.Advance(100 * time.Millisecond)
		pool.Tick()
		Expect(pool.Unreadable()).To(BeEmpty())
		jobs, executors := pool.Beliefs()
		slices.SortFunc(jobs, func(a, b wire.JobBelief) int { return strings.Compare(a.ID, b.ID) })
		var contents strings.Builder
		for _, job := range jobs {
			fmt.Fprintf(&contents, "job %s %s %s\n", job.Key, job.ID, job.State)
		}
		for _, executor := range executors {
			fmt.Fprintf(&contents, "executor %s %s %s %d\n", executor.Key, executor.Executor, executor.State, executor.Running)
		}
		Expect(golden.CheckText("testdata/pool-state.txt", contents.String())).To(Succeed())
	})
})
