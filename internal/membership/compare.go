package membership

import (
	"gannetline/internal/peerapi"
)

// Ask is the first call of a comparison: this table's sums by bucket.
func (t *Table) Ask() peerapi.MembersCall {
	return peerapi.MembersCall{From: t.self, Digest: t.digestFor(t.self.Role), Buckets: t.sumsFor(t.self.Role)[:]}
}

// Answer gives the records of the buckets that differ; a peer of the older form gets them all.
func (t *Table) Answer(call *peerapi.MembersCall) peerapi.MembersAnswer {
	t.meet(call.From)
	for _, member := range call.Members {
		t.Merge(member)
	}
	t.heedNews(call.From, call.Digest)
	defer t.Settle()
	answer := peerapi.MembersAnswer{Digest: t.digestFor(call.From.Role)}
	if call.Gives {
		return answer
	}
	if call.Digest.OwnerSum != answer.Digest.OwnerSum {
		answer.Digest.Owners = t.facts()
	}
	if len(call.Buckets) != bucketCount {
		answer.Members = t.All()
		return answer
	}
	var isDiffering [bucketCount]bool
	for bucket, sum := range t.sumsFor(call.From.Role) {
		if sum != call.Buckets[bucket] {
			isDiffering[bucket] = true
			answer.Differing = append(answer.Differing, bucket)
		}
	}
	isForLeaf := isLeaf(call.From)
	t.each(func(known *entry) {
		if isDiffering[known.bucket] && !(isForLeaf && known.member.Role != RoleSteward) {
			answer.Members = append(answer.Members, known.member)
		}
	})
	return answer
}

// Take merges an answer; it gives a second call where this table holds what the peer lacks.
func (t *Table) Take(from Member, answer *peerapi.MembersAnswer) *peerapi.MembersCall {
	for _, member := range answer.Members {
		t.Merge(member)
	}
	t.heedNews(from, answer.Digest)
	defer t.Settle()
	if answer.Digest.MemberSum == 0 {
		return nil
	}
	t.silentSince = t.clock.Steady()
	given := &peerapi.MembersCall{From: t.self, Gives: true, Digest: t.digestFor(t.self.Role)}
	lacking := t.notIn(answer)
	if isLeaf(t.self) {
		for _, member := range lacking {
			t.forget(Name(member))
		}
	} else {
		given.Members = lacking
	}
	if t.shownOwnerSum() != answer.Digest.OwnerSum {
		given.Digest.Owners = t.facts()
	}
	if len(given.Members) == 0 && len(given.Digest.Owners) == 0 {
		return nil
	}
	return given
}

func (t *Table) notIn(answer *peerapi.MembersAnswer) []Member {
	theirs := map[string]Member{}
	for _, member := range answer.Members {
		theirs[Name(member)] = member
	}
	var isDiffering [bucketCount]bool
	for _, bucket := range answer.Differing {
		if bucket >= 0 && bucket < bucketCount {
			isDiffering[bucket] = true
		}
	}
	var lacking []Member
	t.each(func(known *entry) {
		other, isThere := theirs[Name(known.member)]
		isLacking := isThere && isNewer(known.member, other) || !isThere && known.member.State != peerapi.StateGone
		if isDiffering[known.bucket] && isLacking {
			lacking = append(lacking, known.member)
		}
	})
	return lacking
}

// each visits all records in the order of their names, this process's own included unless it is a local-proxy.
func (t *Table) each(visit func(*entry)) {
	for _, member := range t.everyone.members {
		switch name := Name(member); {
		case name != Name(t.self):
			visit(t.entries[name])
		case !isLeaf(t.self):
			visit(t.me)
		}
	}
}
