package localproxy

// isUnresponsive tells whether calls to the executor fail one after the other; the holds that go on show when they do
// no more.
func (t *Table) isUnresponsive(executor *executorState) bool {
	return executor.misses >= unresponsiveAfter && t.now()-executor.missedAt < unresponsiveFor
}

func (t *Table) recordMisses(executor *executorState, count int) {
	wasUnresponsive := t.isUnresponsive(executor)
	executor.misses, executor.missedAt = executor.misses+count, t.now()
	if !wasUnresponsive && t.isUnresponsive(executor) {
		t.onReportDue()
	}
}

func (t *Table) recordLostAnswer(executor *executorState) {
	executor.lostAt, executor.hasLostAnswer = t.now(), true
}
