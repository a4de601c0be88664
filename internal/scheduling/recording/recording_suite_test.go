package recording_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRecording(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "recording")
}
