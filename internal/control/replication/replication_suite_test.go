package replication_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestKeyowner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replication")
}
