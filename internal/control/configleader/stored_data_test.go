package configleader_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/platform/logging"
)

var _ = Describe("a configuration that an earlier version stored", func() {
	It("is in force with its confirmed versions", func() {
		text, err := os.ReadFile("testdata/configuration-records.txt")
		Expect(err).NotTo(HaveOccurred())
		stored := map[string][]byte{}
		for record := range strings.Lines(string(text)) {
			name, value, hasValue := strings.Cut(strings.TrimSuffix(record, "\n"), "\t")
			Expect(hasValue).To(BeTrue())
			stored[name] = []byte(value)
		}
		var published *wire.Configuration
		leader := configleader.New(logging.Silent(), func(next *wire.Configuration) { published = next })
		Expect(leader.Open(&scriptedLeadership{hasLease: true}, listPairs(stored))).To(Succeed())
		Expect(published.Version).To(BeEquivalentTo(2))
		Expect(published.InitialVoters).To(HaveLen(1))
		var answer wire.ClientAnswer
		leader.Retrieve(func(received wire.ClientAnswer) { answer = received })
		Expect(answer.Status).To(Equal(200))
		Expect(string(answer.Body)).To(ContainSubstring(`"name":"second"`))
		leader.Replace(&wire.ClientCall{Base: 1, Body: answer.Body}, func(received wire.ClientAnswer) { answer = received })
		Expect(answer.Status).To(Equal(200), "the confirmed version is sent again")
	})
})
