package storage_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/control/storage"
	"gannetline/internal/testsupport/golden"
)

var _ = DescribeTable("the form of a replica's state on disk is kept",
	func(name string, empty golden.Message) {
		Expect(golden.CheckMessage(name, empty)).To(Succeed())
	},
	Entry("replica-state", "replica-state", &storage.ReplicaState{}),
)
