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

// disks parses a list of disks such as "a b c".
func disks(text string) []string { return strings.Fields(text) }

var _ = DescribeTable("a quorum is reached by a majority of the new voters and, in a joint set, of the old ones",
	func(old, current, granted string, isReached bool) {
		set := wire.VoterSet{Old: disks(old), Current: disks(current)}
		has := func(disk string) bool { return slices.Contains(disks(granted), disk) }
		Expect(quorum.Reached(set, has)).To(Equal(isReached))
	},
	Entry("two of three", "", "a b c", "a c", true),
	Entry("one of three", "", "a b c", "b", false),
	Entry("half of four", "", "a b c d", "a b", false),
	Entry("no disk of an empty set", "", "", "", false),
	Entry("both majorities", "a b c", "a b d", "a b", true),
	Entry("the new majority alone", "a b c", "c d e", "d e", false),
	Entry("the old majority alone", "a b c", "c d e", "a b", false),
)

var _ = DescribeTable("a lease ends when the leases of fewer disks than a quorum are left",
	func(old, current string, ends map[string]int, wanted int) {
		set := wire.VoterSet{Old: disks(old), Current: disks(current)}
		leaseOf := func(disk string) time.Duration { return time.Duration(ends[disk]) }
		Expect(quorum.LeaseEnd(set, leaseOf)).To(Equal(time.Duration(wanted)))
	},
	Entry("at the median of three", "", "a b c", map[string]int{"a": 5, "b": 9, "c": 7}, 7),
	Entry("at the second lowest of four, since a majority is three", "", "a b c d", map[string]int{"a": 1, "b": 2, "c": 3, "d": 4}, 2),
	Entry("at the earlier end of the two majorities of a joint set", "a b c", "a d e", map[string]int{"a": 9, "b": 4, "d": 8, "e": 8}, 4),
	Entry("at 0 for an empty set", "", "", map[string]int{}, 0),
)

var _ = DescribeTable("the next voters",
	func(current string, goal int, lost, candidates, wanted string) {
		selection := quorum.Selection{Current: disks(current), Goal: goal,
			IsLost:   func(disk string) bool { return slices.Contains(disks(lost), disk) },
			DomainOf: func(disk string) string { return disk[:1] }}
		Expect(selection.Next(disks(candidates))).To(Equal(disks(wanted)))
	},
	Entry("don't change if no voter is lost", "a1 b1 c1", 3, "", "d1", "a1 b1 c1"),
	Entry("include a candidate in place of a lost voter", "a1 b1 c1", 3, "b1", "d1 d2", "a1 c1 d1"),
	Entry("keep a lost voter without a replacement", "a1 b1 c1", 3, "b1", "", "a1 b1 c1"),
	Entry("grow to the goal, with new domains first", "a1 b1 c1", 5, "", "a2 d1 e1", "a1 b1 c1 d1 e1"),
	Entry("stay odd in number if there are too few candidates", "a1 b1 c1", 5, "", "d1", "a1 b1 c1"),
	Entry("shrink to the goal by lost voters", "a1 b1 c1 d1 e1", 3, "d1 e1", "", "a1 b1 c1"),
)
