package rehearsal_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRehearsal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rehearsal")
}
