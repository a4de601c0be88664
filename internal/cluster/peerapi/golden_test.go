package peerapi_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/testsupport/golden"
)

var _ = Describe("the paths of calls between peers", func() {
	It("stay the same", func() {
		Expect(golden.CheckText("testdata/procedures.txt", strings.Join([]string{peerapi.ProcedurePromise, peerapi.ProcedureAppend,
			peerapi.ProcedureFetch, peerapi.ProcedureMembers, peerapi.ProcedurePlan, peerapi.ProcedureIdentify, peerapi.ProcedureClient,
			peerapi.ProcedureExchange, peerapi.ProcedureBeliefs, peerapi.ProcedureTenants, ""}, "\n"))).To(Succeed())
	})
})
