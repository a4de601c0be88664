package scheduler

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/testsupport/golden"
)

// Records of earlier versions must stay readable, so the encoding of each record is compared with a golden file.
var _ = DescribeTable("the encoding of a pool's records is unchanged",
	func(name string, empty golden.Message) {
		Expect(golden.CheckMessage(name, empty)).To(Succeed())
	},
	Entry("job-record", "job-record", &jobRecord{}),
	Entry("state-record", "state-record", &stateRecord{}),
	Entry("run-record", "run-record", &runRecord{}),
	Entry("task-record", "task-record", &taskRecord{}),
	Entry("order-record", "order-record", &orderRecord{}),
	Entry("executor-record", "executor-record", &executorRecord{}),
	Entry("renounced-record", "renounced-record", &renouncedRecord{}),
	Entry("transfer-record", "transfer-record", &transferRecord{}),
	Entry("rollout-record", "rollout-record", &rolloutRecord{}),
	Entry("time-record", "time-record", &timeRecord{}),
)
