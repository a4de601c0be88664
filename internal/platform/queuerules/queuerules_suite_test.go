package queuerules_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQueuerules(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queuerules")
}
