//go:build !race

package storage_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// These specs make files whose pages contradict each other. bbolt finds that out on a goroutine of its own, which goes on reading after
// the opening has failed; the race detector reports that now and then. So CI runs them in a step of its own, without it.
var _ = Describe("a store with an injected fault, on a disk that loses what was not synced,", func() {
	DescribeTable("is found out if it", func(fault injectedFault) {
		Expect(playLosses(lossesInCI, fault)).NotTo(Succeed())
	},
		Entry("answers before the sync", answersBeforeSync),
		Entry("takes a torn meta", takesTornMetas),
		Entry("goes on after a failed sync without another", goesOnUnsynced),
	)
})
