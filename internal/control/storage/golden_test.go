package storage_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/control/storage"
	"gannetline/internal/testsupport/golden"
)

var _ = DescribeTable("the stored format of a replica's state is unchanged",
	func(name string, empty golden.Message) {
		Expect(golden.CheckMessage(name, empty)).To(Succeed())
	},
	Entry("replica-state", "replica-state", &storage.ReplicaState{}),
)
