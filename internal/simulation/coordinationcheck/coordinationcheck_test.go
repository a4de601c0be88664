package coordinationcheck

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

func TestCoordinationCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coordinationcheck")
}

// at returns a time in milliseconds.
func at(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

func hold(holder string, fence uint64, sent, from, to int) Hold {
	return Hold{Lock: "l", Holder: holder, Fence: fence, SentAt: at(sent), From: at(from), To: at(to)}
}

func put(value string, expected uint64, sent int, answers ...PutAnswer) *Put {
	return &Put{Name: "g.a", Value: value, Expected: expected, SentAt: at(sent), Answers: answers}
}

func taken(revision uint64, ms int) PutAnswer {
	return PutAnswer{At: at(ms), IsTaken: true, Revision: revision}
}

func refused(revision uint64, ms int) PutAnswer { return PutAnswer{At: at(ms), Revision: revision} }

func read(value string, revision uint64, sent int) Read {
	return Read{Name: "g.a", Value: value, Revision: revision, SentAt: at(sent), At: at(sent + 1)}
}

func watch(above, revision uint64, sent int, values ...string) Watch {
	answer := Watch{Group: "g.", Above: above, Revision: revision, SentAt: at(sent), At: at(sent + 1)}
	for index, value := range values {
		answer.Events = append(answer.Events, wire.CellEvent{Name: "g.a", Value: value, Revision: above + uint64(index) + 1})
	}
	return answer
}

// withFirstPut returns puts that begin with an acknowledged put of v1 at revision 1.
func withFirstPut(others ...*Put) []*Put {
	return append([]*Put{put("v1", 0, 0, taken(1, 10))}, others...)
}

var _ = Describe("the oracles of locks, numbers and cells", func() {
	DescribeTable("find violations", func(oracle string, history History) {
		violations, _ := Judge(&history, at(20000))
		Expect(violations).NotTo(BeEmpty())
		var oracles []string
		for _, violation := range violations {
			oracles = append(oracles, violation.Oracle)
		}
		Expect(oracles).To(ContainElement(oracle))
	},
		Entry("two holders", OracleOneHolder, History{Holds: []Hold{hold("x", 1, 0, 10, 100), hold("y", 2, 0, 99, 200)}}),
		Entry("the same token", OracleFences, History{Holds: []Hold{hold("x", 1, 0, 10, 100), hold("y", 1, 90, 100, 200)}}),
		Entry("a lower token", OracleFences, History{Holds: []Hold{hold("x", 5, 0, 10, 100), hold("y", 4, 90, 110, 200)}}),
		Entry("a number twice", OracleNumbers, History{Numbers: []Number{{"n", 7, at(0), at(5)}, {"n", 7, at(0), at(6)}}}),
		Entry("a lower number", OracleNumbers, History{Numbers: []Number{{"n", 7, at(0), at(5)}, {"n", 6, at(6), at(7)}}}),
		Entry("a revision of two puts", OracleRevisions, History{Puts: withFirstPut(put("v2", 0, 0, taken(1, 12)))}),
		Entry("a put with two revisions", OracleRevisions, History{Puts: []*Put{put("v1", 0, 0, taken(1, 10), taken(2, 20))}}),
		Entry("a revision below an earlier one", OracleRevisions, History{Puts: []*Put{put("v1", 0, 0, taken(5, 10)), put("v2", 0, 20, taken(4, 30))}}),
		Entry("a value that nobody put", OracleShown, History{Puts: withFirstPut(), Reads: []Read{read("v9", 2, 20)}}),
		Entry("the revision of another cell", OracleShown, History{Puts: withFirstPut(&Put{Name: "g.b", Value: "v2", Answers: []PutAnswer{refused(1, 20)}})}),
		Entry("a refused put that is shown", OracleRefused, History{Puts: withFirstPut(put("v2", 0, 20, refused(1, 30))), Reads: []Read{read("v2", 2, 40)}}),
		Entry("a put that was given up and is shown", OracleRefused, History{Puts: withFirstPut(&Put{Name: "g.a", Value: "v2", Expected: 1, IsGivenUp: true}),
			Reads: []Read{read("v2", 2, 40)}}),
		Entry("a stale read", OracleStale, History{Puts: withFirstPut(), Reads: []Read{read("", 0, 20)}}),
		Entry("a stale revision", OracleStale, History{Puts: withFirstPut(), Watches: []Watch{watch(0, 0, 20)}}),
		Entry("a watch with a gap", OracleWatches, History{Puts: withFirstPut(put("v2", 1, 20, taken(2, 30)), put("v3", 2, 40, taken(3, 50))),
			Watches: []Watch{{Group: "g.", Above: 1, Revision: 3, Events: []wire.CellEvent{{Name: "g.a", Value: "v3", Revision: 3}}}}}),
		Entry("a watch that ends early", OracleWatches, History{Puts: withFirstPut(put("v2", 1, 20, taken(2, 30))), Watches: []Watch{watch(1, 2, 40)}}),
		Entry("puts that are dropped too soon", OracleHistory, History{Gone: []Gone{{"g.", 1, at(0), at(19999)}}}),
		Entry("a put on top of another revision", OracleLinearizable, History{Puts: withFirstPut(put("v2", 7, 20, taken(2, 30)))}),
		Entry("a refusal at the expected revision", OracleLinearizable, History{Puts: withFirstPut(put("v2", 1, 20, refused(1, 30)))}),
	)

	It("find no violation where calls overlap or have no definite answer", func() {
		unanswered := put("v2", 1, 20)
		unanswered.IsOpen = true
		history := History{
			Holds:   []Hold{hold("x", 1, 0, 10, 100), hold("y", 2, 90, 100, 200), hold("x", 3, 0, 250, 300), hold("z", 4, 0, 250, 250)},
			Numbers: []Number{{"n", 7, at(0), at(5)}, {"n", 6, at(4), at(7)}},
			Puts:    withFirstPut(unanswered, put("v3", 1, 30, refused(2, 40)), put("v4", 2, 50, taken(3, 60), taken(3, 90))),
			Reads:   []Read{read("v1", 1, 15), read("v4", 3, 70)},
			Watches: []Watch{watch(1, 3, 61, "v2", "v4"), watch(0, 3, 70)},
			Gone:    []Gone{{"g.", 1, at(0), at(20000)}},
		}
		violations, undecided := Judge(&history, at(20000))
		Expect(violations).To(BeEmpty())
		Expect(undecided).To(BeZero())
	})

	It("leave a cell undecided where several puts may have a revision", func() {
		second, third := put("v2", 1, 20), put("v3", 1, 20)
		second.IsOpen, third.IsOpen = true, true
		_, undecided := Judge(&History{Puts: withFirstPut(second, third, put("v4", 1, 30, refused(2, 40)))}, at(20000))
		Expect(undecided).To(Equal(1))
	})
})
