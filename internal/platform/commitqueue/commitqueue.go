// Package commitqueue knows which changes of a key wait for their quorum, and what is to follow each. State machines propose
// their changes in an order, and commits end in that order; a queue makes what depends on several of them follow the last.
package commitqueue

// Commit is a change that was proposed, with what follows its end.
type Commit struct {
	callbacks []func(error)
}

// Queue holds the commits of one leadership that have not ended, in the order of their proposals. The zero value is empty.
// A queue belongs to one goroutine.
type Queue struct {
	pending []*Commit
}

// Len is how many commits have not ended.
func (q *Queue) Len() int { return len(q.pending) }

// Add takes a change that is about to be proposed, and what follows its end.
func (q *Queue) Add(callbacks ...func(error)) *Commit {
	commit := &Commit{callbacks: callbacks}
	q.pending = append(q.pending, commit)
	return commit
}

// AfterAll lets callbacks follow the last commit that has not ended, or runs them at once if there is none: they wait for nothing
// but what was proposed before them.
func (q *Queue) AfterAll(callbacks ...func(error)) {
	if count := len(q.pending); count > 0 {
		last := q.pending[count-1]
		last.callbacks = append(last.callbacks, callbacks...)
		return
	}
	run(callbacks, nil)
}

// End takes a commit out that has ended, and runs what follows it; err tells that its outcome is unknown. It is false, and nothing
// is run, for a commit that isn't the oldest: it belongs to an earlier leadership, which has run its callbacks when it ended.
func (q *Queue) End(commit *Commit, err error) bool {
	if len(q.pending) == 0 || q.pending[0] != commit {
		return false
	}
	q.pending = q.pending[1:]
	run(commit.callbacks, err)
	return true
}

// TakeCallbacks empties the queue and gives all callbacks, in the order in which they would have run.
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
