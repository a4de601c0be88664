package main

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAnswerAudit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "answer audit")
}

const (
	commitLine = `  38.2 edge-1/steward {"msg":"changes committed","key":"pool/s","epoch":1,"index":7,"records":["t/b.0.0.0","s/b"]}`
	answerLine = `  38.3 edge-1/steward {"msg":"job state answered","key":"pool/s","epoch":1,"job":"b","status":200,"body":"{\"executor-state\":\"completed\"}","commit_index":6}`
	openLine   = `{"msg":"job state answered","key":"pool/s","epoch":1,"job":"c","status":200,"body":"{\"executor-state\":\"active\"}"}`
	goneLine   = `{"msg":"job state answered","key":"pool/s","epoch":1,"job":"d","status":410,"body":""}`
	cutLine    = `{"msg":"job state answered","key":"pool/s","ep`
)

var _ = Describe("the audit of a log", func() {
	auditLines := func(lines ...string) *auditReport {
		report, err := audit(strings.NewReader(strings.Join(lines, "\n")))
		Expect(err).NotTo(HaveOccurred())
		return report
	}

	It("accepts an end that is shown after its commit, and passes over open, unknown and cut off ones", func() {
		report := auditLines(openLine, commitLine, answerLine, goneLine, cutLine)
		Expect(report.answered).To(Equal(1))
		Expect(report.early).To(BeEmpty())
	})

	It("finds an end that is shown before its commit", func() {
		report := auditLines(answerLine, commitLine)
		Expect(report.early).To(HaveLen(1))
		Expect(report.early[0].state()).To(Equal("completed"))
		Expect(report.early[0].CommitIndex).To(Equal(uint64(6)))
	})

	It("tells jobs of different pools apart", func() {
		Expect(auditLines(strings.Replace(commitLine, "pool/s", "pool/r", 1), answerLine).early).To(HaveLen(1))
	})
})
