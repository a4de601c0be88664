// Package commitqueue tracks the proposed changes of a key that wait for their quorum, and runs the callbacks of each at its end. Commits
// end in the order in which a state machine proposes them. A callback that depends on several pending commits therefore runs after the last
// one.
package commitqueue

// Commit is a proposed change with the callbacks that run at its end.
type Commit struct {
	callbacks []func(error)
}

// Queue holds the pending commits of one leadership in the order of their proposals. The zero value is an empty queue. Only one
// goroutine may use it.
type Queue struct {
	pending []*Commit
}

// Len returns the number of pending commits.
func (q *Queue) Len() int { return len(q.pending) }

// Add appends a change that is about to be proposed, with the callbacks that run at its end. Their argument is the error passed to End.
func (q *Queue) Add(callbacks ...func(error)) *Commit {
	commit := &Commit{callbacks: callbacks}
	q.pending = append(q.pending, commit)
	return commit
}

// AfterAll runs callbacks at the end of the last pending commit, or at once with a nil error if there is none. They don't wait for commits
// that are proposed later.
func (q *Queue) AfterAll(callbacks ...func(error)) {
	if count := len(q.pending); count > 0 {
		last := q.pending[count-1]
		last.callbacks = append(last.callbacks, callbacks...)
		return
	}
	run(callbacks, nil)
}

// End removes the oldest commit and runs its callbacks. An error means that the outcome of the commit is unknown. For any other commit End
// returns false and runs nothing. Such a commit belongs to an earlier leadership, whose end has already run the callbacks.
func (q *Queue) End(commit *Commit, err error) bool {
	if len(q.pending) == 0 || q.pending[0] != commit {
		return false
	}
	q.pending = q.pending[1:]
	run(commit.callbacks, err)
	return true
}

// TakeCallbacks empties the queue and returns all callbacks in the order in which they would have run. It is called at the end of a
// leadership.
func (q *Queue) TakeCallbacks() []func(error) {
	var all []func(error)
	for _, commit := range q.pending {
		all = append(all, commit.callbacks...)
	}
	q.pending = nil
	return all
}

func run(callbacks []func(error), err error) {
	for _, callback := range callbacks {
		callback(err)
	}
}
