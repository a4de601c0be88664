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
	commitLine = `  38.2 edge-1/steward {"msg":"changes committed","key":"pool/s","epoch":1,"index":7,"records":["t/5c0e7a21d94b36f8.0.0.0","s/5c0e7a21d94b36f8"]}`
	mergedLine = `  38.2 edge-1 {"msg":"changes committed","records":["s/5c0e7a21d94b36f8","t{"msg":"other"}/x"]}`
	answerLine = `  38.3 edge-1/steward {"msg":"job state answered","epoch":1,"job":"5c0e7a21d94b36f8","status":200,"body":"{\"executor-state\":\"completed\"}","commit_index":6}`
	openLine   = `{"msg":"job state answered","epoch":1,"job":"5c0e7a21d94b36f9","status":200,"body":"{\"executor-state\":\"active\"}"}`
	goneLine   = `{"msg":"job state answered","epoch":1,"job":"5c0e7a21d94b36fa","status":410,"body":""}`
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
		Expect(report.unnamed).To(BeZero())
	})

	It("finds an end that is shown before its commit", func() {
		report := auditLines(answerLine, commitLine)
		Expect(report.early).To(HaveLen(1))
		Expect(report.early[0].state()).To(Equal("completed"))
		Expect(report.early[0].CommitIndex).To(Equal(uint64(6)))
	})

	It("takes the records of a commit also from a line into which another one has run", func() {
		Expect(auditLines(mergedLine, answerLine).early).To(BeEmpty())
		Expect(auditLines(answerLine, mergedLine).early).To(HaveLen(1))
	})

	It("counts apart an end that no line names", func() {
		report := auditLines(answerLine, openLine)
		Expect(report.early).To(BeEmpty())
		Expect(report.unnamed).To(Equal(1))
	})
})
