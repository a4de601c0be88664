package membership

import (
	"gannetline/internal/cluster/peerapi/wire"
)

// SumsCall is the first call of a comparison: this table's sums by bucket.
func (t *Table) SumsCall() wire.MembersCall {
	return wire.MembersCall{From: t.self, Digest: t.digestFor(t.self.Role), Buckets: t.sumsFor(t.self.Role)[:]}
}

// AnswerCall gives the records of the buckets that differ; a peer of an earlier version gets them all.
func (t *Table) AnswerCall(call *wire.MembersCall) wire.MembersAnswer {
	t.noteContact(call.From)
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

// answerBuckets names the buckets whose sums differ, and gives the records in them.
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

// HandleAnswer merges an answer; it gives a second call where this table holds what the peer lacks.
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
	given := &wire.MembersCall{From: t.self, IsFollowUp: true, Digest: t.digestFor(t.self.Role)}
	lacking := t.lackingIn(answer)
	if isLeaf(t.self) {
		for _, member := range lacking {
			t.forget(Name(member))
		}
	} else {
		given.Members = lacking
	}
	if t.publishedLeaderSum() != answer.Digest.LeaderSum {
		given.Digest.Leaders = t.allLeaders()
	}
	if len(given.Members) == 0 && len(given.Digest.Leaders) == 0 {
		return nil
	}
	return given
}

// lackingIn gives the records of the differing buckets that an answer lacks or has in an older form.
func (t *Table) lackingIn(answer *wire.MembersAnswer) []Member {
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
	var lacking []Member
	t.each(func(known *record) {
		other, exists := listed[Name(known.member)]
		isLacking := exists && isNewer(known.member, other) || !exists && known.member.State != wire.StateGone
		if isDiffering[known.bucket] && isLacking {
			lacking = append(lacking, known.member)
		}
	})
	return lacking
}
