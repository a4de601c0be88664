package quorum_test

import (
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
)

// disks reads a list of disks from a text such as "a b c".
func disks(text string) []string { return strings.Fields(text) }

var _ = DescribeTable("a quorum is reached by a majority of the new voters and, in a joint set, of the old ones",
	func(old, now, granted string, isReached bool) {
		set := wire.VoterSet{Old: disks(old), Current: disks(now)}
		has := func(disk string) bool { return slices.Contains(disks(granted), disk) }
		Expect(quorum.Reached(set, has)).To(Equal(isReached))
	},
	Entry("two of three", "", "a b c", "a c", true),
	Entry("one of three", "", "a b c", "b", false),
	Entry("half of four", "", "a b c d", "a b", false),
	Entry("nobody of none", "", "", "", false),
	Entry("both majorities", "a b c", "a b d", "a b", true),
	Entry("the new majority alone", "a b c", "c d e", "d e", false),
	Entry("the old majority alone", "a b c", "c d e", "a b", false),
)

var _ = DescribeTable("a lease ends when a quorum no longer vouches",
	func(old, now string, ends map[string]int, wanted int) {
		set := wire.VoterSet{Old: disks(old), Current: disks(now)}
		leaseOf := func(disk string) time.Duration { return time.Duration(ends[disk]) }
		Expect(quorum.LeaseEnd(set, leaseOf)).To(Equal(time.Duration(wanted)))
	},
	Entry("of three the second", "", "a b c", map[string]int{"a": 5, "b": 9, "c": 7}, 7),
	Entry("of four the second lowest, as three must vouch", "", "a b c d", map[string]int{"a": 1, "b": 2, "c": 3, "d": 4}, 2),
	Entry("of a joint set the earlier", "a b c", "a d e", map[string]int{"a": 9, "b": 4, "d": 8, "e": 8}, 4),
	Entry("of nobody at once", "", "", map[string]int{}, 0),
)

var _ = DescribeTable("the next voters",
	func(current string, goal int, lost, candidates, wanted string) {
		selection := quorum.Selection{Current: disks(current), Goal: goal,
			IsLost:   func(disk string) bool { return slices.Contains(disks(lost), disk) },
			DomainOf: func(disk string) string { return disk[:1] }}
		Expect(selection.Next(disks(candidates))).To(Equal(disks(wanted)))
	},
	Entry("stay as they are with nobody lost", "a1 b1 c1", 3, "", "d1", "a1 b1 c1"),
	Entry("take a candidate for a lost one", "a1 b1 c1", 3, "b1", "d1 d2", "a1 c1 d1"),
	Entry("keep a lost one while nobody takes its place", "a1 b1 c1", 3, "b1", "", "a1 b1 c1"),
	Entry("grow to the goal, one in each domain first", "a1 b1 c1", 5, "", "a2 d1 e1", "a1 b1 c1 d1 e1"),
	Entry("stay odd while there are too few", "a1 b1 c1", 5, "", "d1", "a1 b1 c1"),
	Entry("shrink to the goal by those that are lost", "a1 b1 c1 d1 e1", 3, "d1 e1", "", "a1 b1 c1"),
)
