package localproxy

// isUnresponsive reports whether the last unresponsiveAfter calls or more went unanswered, the last of them less than unresponsiveFor
// ago. An unresponsive executor still gets holds, except those for a list of runs. An answer makes it responsive again.
func (t *Table) isUnresponsive(executor *executorState) bool {
	return executor.misses >= unresponsiveAfter && t.now()-executor.missedAt < unresponsiveFor
}

// recordMisses counts unanswered calls and reports to the leader when the executor becomes unresponsive.
func (t *Table) recordMisses(executor *executorState, count int) {
	wasUnresponsive := t.isUnresponsive(executor)
	executor.misses, executor.missedAt = executor.misses+count, t.now()
	if !wasUnresponsive && t.isUnresponsive(executor) {
		t.onReportDue()
	}
}

// recordLostAnswer records that an answer may have been lost, so that the next holds use the short wait.
func (t *Table) recordLostAnswer(executor *executorState) {
	executor.lostAt, executor.hasLostAnswer = t.now(), true
}
