package peerapi_test

import (
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/testsupport/golden"
)

// goldenMessages are all messages between peers, and what they hold, by the names of their golden files.
var goldenMessages = map[string]golden.Message{
	"log-position":         &peerapi.LogPosition{},
	"voter-set":            &peerapi.VoterSet{},
	"op":                   &peerapi.Op{},
	"change":               &peerapi.Change{},
	"snapshot":             &peerapi.Snapshot{},
	"promise-call":         &peerapi.PromiseCall{},
	"promise-answer":       &peerapi.PromiseAnswer{},
	"snapshot-chunk":       &peerapi.SnapshotChunk{},
	"append-call":          &peerapi.AppendCall{},
	"append-answer":        &peerapi.AppendAnswer{},
	"fetch-call":           &peerapi.FetchCall{},
	"fetch-answer":         &peerapi.FetchAnswer{},
	"member":               &peerapi.Member{},
	"leader-fact":          &peerapi.LeaderFact{},
	"digest":               &peerapi.Digest{},
	"datagram":             &peerapi.Datagram{},
	"members-call":         &peerapi.MembersCall{},
	"members-answer":       &peerapi.MembersAnswer{},
	"configuration-call":   &peerapi.ConfigurationCall{},
	"configuration-answer": &peerapi.ConfigurationAnswer{},
	"configuration-chunk":  &peerapi.ConfigurationChunk{},
	"configuration-delta":  &peerapi.ConfigurationDelta{},
	"delta-part":           &peerapi.DeltaPart{},
	"configuration":        &peerapi.Configuration{},
	"moved-route":          &peerapi.MovedRoute{},
	"initial-voters":       &peerapi.InitialVoters{},
	"confirmed-version":    &peerapi.ConfirmedVersion{},
	"identify-call":        &peerapi.IdentifyCall{},
	"identify-answer":      &peerapi.IdentifyAnswer{},
	"client-call":          &peerapi.ClientCall{},
	"route-terms":          &peerapi.RouteTerms{},
	"client-answer":        &peerapi.ClientAnswer{},
	"capacity":             &peerapi.Capacity{},
	"run-report":           &peerapi.RunReport{},
	"end-report":           &peerapi.EndReport{},
	"order-answer":         &peerapi.OrderAnswer{},
	"exchange-call":        &peerapi.ExchangeCall{},
	"order":                &peerapi.Order{},
	"exchange-answer":      &peerapi.ExchangeAnswer{},
	"beliefs-call":         &peerapi.BeliefsCall{},
	"key-belief":           &peerapi.KeyBelief{},
	"job-belief":           &peerapi.JobBelief{},
	"executor-belief":      &peerapi.ExecutorBelief{},
	"beliefs-answer":       &peerapi.BeliefsAnswer{},
}

var _ = Describe("the form of messages between peers", func() {
	for name, message := range goldenMessages {
		It("is kept for "+name, func() {
			Expect(golden.CheckMessage(filepath.Join("testdata", "messages", name+".json"), message)).To(Succeed())
		})
	}

	It("is kept for the paths of calls", func() {
		Expect(golden.CheckText("testdata/procedures.txt", strings.Join([]string{peerapi.ProcedurePromise, peerapi.ProcedureAppend,
			peerapi.ProcedureFetch, peerapi.ProcedureMembers, peerapi.ProcedurePlan, peerapi.ProcedureIdentify, peerapi.ProcedureClient,
			peerapi.ProcedureExchange, peerapi.ProcedureBeliefs, ""}, "\n"))).To(Succeed())
	})
})
