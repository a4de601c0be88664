package mailbox

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMailbox(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mailbox")
}
