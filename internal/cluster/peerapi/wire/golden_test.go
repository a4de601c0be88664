package wire_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/testsupport/golden"
)

// goldenMessages holds all messages between peers and the records in them, by the names of their golden files.
var goldenMessages = map[string]golden.Message{
	"log-position":          &wire.LogPosition{},
	"retire-call":           &wire.RetireCall{},
	"retire-answer":         &wire.RetireAnswer{},
	"executor-record":       &wire.ExecutorRecord{},
	"executor-list-version": &wire.ExecutorListVersion{},
	"executors-call":        &wire.ExecutorsCall{},
	"executors-answer":      &wire.ExecutorsAnswer{},
	"voter-set":             &wire.VoterSet{},
	"op":                    &wire.Op{},
	"change":                &wire.Change{},
	"snapshot":              &wire.Snapshot{},
	"promise-call":          &wire.PromiseCall{},
	"promise-answer":        &wire.PromiseAnswer{},
	"snapshot-chunk":        &wire.SnapshotChunk{},
	"append-call":           &wire.AppendCall{},
	"append-answer":         &wire.AppendAnswer{},
	"fetch-call":            &wire.FetchCall{},
	"fetch-answer":          &wire.FetchAnswer{},
	"member":                &wire.Member{},
	"leader-fact":           &wire.KeyLeader{},
	"digest":                &wire.Digest{},
	"datagram":              &wire.Datagram{},
	"members-call":          &wire.MembersCall{},
	"members-answer":        &wire.MembersAnswer{},
	"configuration-call":    &wire.ConfigurationCall{},
	"configuration-answer":  &wire.ConfigurationAnswer{},
	"configuration-chunk":   &wire.ConfigurationChunk{},
	"configuration-delta":   &wire.ConfigurationDelta{},
	"delta-part":            &wire.DeltaPart{},
	"configuration":         &wire.Configuration{},
	"moved-route":           &wire.MovedRoute{},
	"initial-voters":        &wire.InitialVoters{},
	"confirmed-version":     &wire.ConfirmedVersion{},
	"identify-call":         &wire.IdentifyCall{},
	"identify-answer":       &wire.IdentifyAnswer{},
	"client-call":           &wire.ClientCall{},
	"route-terms":           &wire.RouteTerms{},
	"client-answer":         &wire.ClientAnswer{},
	"capacity":              &wire.Capacity{},
	"run-report":            &wire.RunReport{},
	"end-report":            &wire.EndReport{},
	"order-answer":          &wire.OrderAnswer{},
	"exchange-call":         &wire.ExchangeCall{},
	"order":                 &wire.Order{},
	"exchange-answer":       &wire.ExchangeAnswer{},
	"beliefs-call":          &wire.BeliefsCall{},
	"key-belief":            &wire.KeyBelief{},
	"job-belief":            &wire.JobBelief{},
	"executor-belief":       &wire.ExecutorBelief{},
	"beliefs-answer":        &wire.BeliefsAnswer{},
	"grant-call":            &wire.GrantCall{},
	"tenant-demand":         &wire.TenantDemand{},
	"grant-answer":          &wire.GrantAnswer{},
	"tenant-grant":          &wire.TenantGrant{},
	"tenants-call":          &wire.TenantsCall{},
	"tenants-answer":        &wire.TenantsAnswer{},
	"tenant-count-report":   &wire.TenantCountReport{},
	"tenant-usage":          &wire.TenantUsage{},
	"tenant-share":          &wire.TenantShare{},
	"transfer-call":         &wire.TransferCall{},
	"rollout-report":        &wire.RolloutReport{},
	"rollouts-status":       &wire.RolloutsStatus{},
	"evacuations":           &wire.Evacuations{},
	"evacuations-call":      &wire.EvacuationsCall{},
	"evacuations-answer":    &wire.EvacuationsAnswer{},
	"lock-call":             &wire.LockCall{},
	"lock-answer":           &wire.LockAnswer{},
	"number-answer":         &wire.NumberAnswer{},
	"put-call":              &wire.PutCall{},
	"revision-answer":       &wire.RevisionAnswer{},
	"cell-answer":           &wire.CellAnswer{},
	"watch-answer":          &wire.WatchAnswer{},
	"coordination-call":     &wire.CoordinationCall{},
	"coordination-reports":  &wire.CoordinationReports{},
}

var _ = Describe("the encoding of messages between peers", func() {
	for name, message := range goldenMessages {
		It("stays the same for "+name, func() {
			Expect(golden.CheckMessage(name, message)).To(Succeed())
		})
	}
})
