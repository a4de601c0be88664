package membership

import (
	"gannetline/internal/cluster/peerapi/wire"
)

// NewComparisonCall returns the first call of a comparison. It carries the sums of the buckets of this table.
func (t *Table) NewComparisonCall() wire.MembersCall {
	return wire.MembersCall{From: t.self, Digest: t.digestFor(t.self.Role), Buckets: t.sumsFor(t.self.Role)[:]}
}

// AnswerCall merges the records of a call and answers it. The answer to a first call holds the records of the buckets that differ, or all
// records for a peer of an earlier version, which sends no buckets.
func (t *Table) AnswerCall(call *wire.MembersCall) wire.MembersAnswer {
	t.recordContact(call.From)
	for _, member := range call.Members {
		t.Merge(member)
	}
	t.handleDigest(call.From, call.Digest)
	defer t.PublishIfChanged()
	answer := wire.MembersAnswer{Digest: t.digestFor(call.From.Role)}
	if call.IsFollowUp {
		return answer
	}
	if call.Digest.LeaderSum != answer.Digest.LeaderSum {
		answer.Digest.Leaders = t.allLeaders()
	}
	if len(call.Buckets) != bucketCount {
		answer.Members = t.All()
		return answer
	}
	t.answerBuckets(call, &answer)
	return answer
}

// answerBuckets adds to an answer the buckets whose sums differ, and their records. A local proxy gets the records of stewards only.
func (t *Table) answerBuckets(call *wire.MembersCall, answer *wire.MembersAnswer) {
	var isDiffering [bucketCount]bool
	for bucket, sum := range t.sumsFor(call.From.Role) {
		if sum != call.Buckets[bucket] {
			isDiffering[bucket] = true
			answer.Differing = append(answer.Differing, bucket)
		}
	}
	isForLeaf := isLeaf(call.From)
	t.each(func(known *record) {
		if isDiffering[known.bucket] && !(isForLeaf && known.member.Role != RoleSteward) {
			answer.Members = append(answer.Members, known.member)
		}
	})
}

// HandleAnswer merges an answer. It returns a second call with the records and leaders that the peer lacks. It returns nil if the peer lacks
// none, or if the peer is of an earlier version, which has no sums. A local proxy sends no records: it forgets the stewards that the answer
// lacks or has with an older record.
func (t *Table) HandleAnswer(from Member, answer *wire.MembersAnswer) *wire.MembersCall {
	for _, member := range answer.Members {
		t.Merge(member)
	}
	t.handleDigest(from, answer.Digest)
	defer t.PublishIfChanged()
	if answer.Digest.MemberSum == 0 {
		return nil
	}
	t.silentSince = t.clock.Monotonic()
	followUp := &wire.MembersCall{From: t.self, IsFollowUp: true, Digest: t.digestFor(t.self.Role)}
	missing := t.recordsMissingIn(answer)
	if isLeaf(t.self) {
		for _, member := range missing {
			t.forget(Name(member))
		}
	} else {
		followUp.Members = missing
	}
	if t.digestLeaderSum() != answer.Digest.LeaderSum {
		followUp.Digest.Leaders = t.allLeaders()
	}
	if len(followUp.Members) == 0 && len(followUp.Digest.Leaders) == 0 {
		return nil
	}
	return followUp
}

// recordsMissingIn returns the members of the differing buckets that an answer lacks or has with an older record. Members that are gone
// need not be listed.
func (t *Table) recordsMissingIn(answer *wire.MembersAnswer) []Member {
	listed := map[string]Member{}
	for _, member := range answer.Members {
		listed[Name(member)] = member
	}
	var isDiffering [bucketCount]bool
	for _, bucket := range answer.Differing {
		if bucket >= 0 && bucket < bucketCount {
			isDiffering[bucket] = true
		}
	}
	var missing []Member
	t.each(func(known *record) {
		other, exists := listed[Name(known.member)]
		isMissing := exists && isNewer(known.member, other) || !exists && known.member.State != wire.StateGone
		if isDiffering[known.bucket] && isMissing {
			missing = append(missing, known.member)
		}
	})
	return missing
}
