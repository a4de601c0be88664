// Command answeraudit reads the log lines of stewards at the trace verbosity and reports the jobs whose end was shown to a client before it
// was committed. It reads standard input and ignores text before the JSON of a line, such as the times and names that the bench adds.
//
// Exit status: 0 no answer came too early, 1 some did, 2 the input can't be read or has no answers.
package main

import (
	"fmt"
	"os"
)

func main() {
	report, err := audit(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Printf("final states answered: %d, before the commit of the end: %d, of ends that no line names: %d\n", report.answered, len(report.early), report.unnamed)
	for _, answer := range report.early {
		fmt.Printf("job %s: %s answered at epoch %d, commit index %d\n", answer.Job, answer.state(), answer.Epoch, answer.CommitIndex)
	}
	switch {
	case report.answered == 0:
		os.Exit(2)
	case len(report.early) > 0:
		os.Exit(1)
	}
}
