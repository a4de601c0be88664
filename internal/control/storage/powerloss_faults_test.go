//go:build !race

package storage_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// faultVariable names an environment variable. If it holds the number of a fault, the test binary only runs the simulation with that
	// injected fault.
	faultVariable = "STORAGE_TEST_FAULT"
	// exitFound and exitNotFound are the exit statuses of such a process: the simulation has found the fault or has not.
	exitFound    = 10
	exitNotFound = 11
	// lossesWithFault is the largest number of power losses in which an injected fault must be found. The simulation does not repeat itself
	// exactly, since bbolt chooses other pages each time.
	lossesWithFault = 10_000
	// readerPanic appears in the stack trace if the goroutine of bbolt that checks the pages of a file crashes.
	readerPanic = "go.etcd.io/bbolt.(*Tx).recursivelyCheckBucket"
)

// TestMain runs the tests, or only the simulation with an injected fault if faultVariable is set.
func TestMain(m *testing.M) {
	number, err := strconv.Atoi(os.Getenv(faultVariable))
	if err != nil {
		os.Exit(m.Run())
	}
	RegisterFailHandler(func(message string, _ ...int) { panic(message) })
	fault, losses := injectedFault(number), lossesInCI
	if fault != noFault {
		losses = lossesWithFault
	}
	if simulateLosses(losses, fault) != nil {
		os.Exit(exitFound)
	}
	os.Exit(exitNotFound)
}

// findsFaultInSubprocess runs the simulation with an injected fault in a separate process and reports whether the simulation found the fault.
// If pages contradict each other, a goroutine of bbolt that checks the pages may go on reading after bbolt.Open has failed, and crash the
// process. Such a crash counts as found. The race detector sometimes reports these reads, so CI runs these specs in a separate step without
// it.
func findsFaultInSubprocess(fault injectedFault) (isFound bool, problem string) {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", faultVariable, fault))
	output, err := command.CombinedOutput()
	switch command.ProcessState.ExitCode() {
	case exitFound:
		return true, ""
	case exitNotFound:
		return false, "nothing was found"
	}
	if bytes.Contains(output, []byte(readerPanic)) {
		return true, ""
	}
	return false, fmt.Sprintf("%v: %s", err, output)
}

var _ = Describe("the power loss simulation with an injected fault", func() {
	DescribeTable("finds a store that", func(fault injectedFault) {
		isFound, problem := findsFaultInSubprocess(fault)
		Expect(isFound).To(BeTrue(), problem)
	},
		Entry("answers before the sync", answersBeforeSync),
		Entry("accepts a torn meta page", ignoresMetaChecksum),
		Entry("continues after a failed sync without another sync", skipsSyncAfterFailure),
	)

	It("finds nothing if no fault is injected", func() {
		isFound, problem := findsFaultInSubprocess(noFault)
		Expect(isFound).To(BeFalse())
		Expect(problem).To(Equal("nothing was found"))
	})
})
