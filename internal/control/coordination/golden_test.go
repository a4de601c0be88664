package coordination

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/testsupport/golden"
)

var goldenRecords = map[string]golden.Message{
	"fence-record":  &fenceRecord{},
	"lock-record":   &lockRecord{},
	"number-record": &numberRecord{},
	"cell-record":   &cellRecord{},
	"event-record":  &eventRecord{},
}

var _ = Describe("the encoding of records on disk", func() {
	for name, record := range goldenRecords {
		It("is unchanged for "+name, func() {
			Expect(golden.CheckMessage(name, record)).To(Succeed())
		})
	}
})
