package rolloutmodel_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRolloutModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "model of rollouts")
}
