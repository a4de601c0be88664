package main

import (
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

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

// eachAnswer runs a function on each process that answered, with its answer, and gives an exit that names those that did not, or nil.
func eachAnswer[Answer any](asked []process, outcomes []outcome[Answer], take func(process, Answer)) error {
	var silent []string
	for place, from := range asked {
		if err := outcomes[place].err; err != nil {
			silent = append(silent, errors.Annotate(err, from.address).Error())
			continue
		}
		take(from, outcomes[place].answer)
	}
	if len(silent) > 0 {
		return cli.Exit("no answer: "+strings.Join(silent, "; "), exitSilent)
	}
	return nil
}
