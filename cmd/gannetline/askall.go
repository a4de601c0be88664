package main

// outcome is what one process answered, or why it did not.
type outcome[Answer any] struct {
	answer Answer
	err    error
}

// askAll asks about all of them at once, and gives the outcomes in their order.
func askAll[Asked, Answer any](all []Asked, ask func(Asked) (Answer, error)) []outcome[Answer] {
	pending := make([]chan outcome[Answer], len(all))
	for place, asked := range all {
		pending[place] = make(chan outcome[Answer], 1)
		go func() {
			answer, err := ask(asked)
			pending[place] <- outcome[Answer]{answer, err}
		}()
	}
	outcomes := make([]outcome[Answer], len(all))
	for place := range pending {
		outcomes[place] = <-pending[place]
	}
	return outcomes
}
