package tenantview_test

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/cluster/tenantview"
)

var _ = Describe("the view of tenants", func() {
	amount := func(cpu, memory int64) *wire.Capacity { return &wire.Capacity{CPU: cpu, Memory: memory} }
	reports := []wire.TenantCountReport{
		{Key: "count/1", Version: 7, Tenants: []wire.TenantUsage{{Tenant: "t", Limit: amount(8000, 0), Grants: []wire.TenantShare{
			{Asker: "pool/x", Granted: *amount(5000, 0), Wants: *amount(9000, 10)}, {Asker: "pool/y", Granted: *amount(3000, 0), Wants: *amount(1000, 0)}}}}},
		{Key: "pool/x", Version: 7, Tenants: []wire.TenantUsage{{Tenant: "t", Weight: 2, Running: amount(4000, 300), Runs: 4, Waiting: amount(1000, 100), WaitingJobs: 2, Share: 0.25},
			{Tenant: "u", Weight: 1, Running: amount(9000, 1), Runs: 1, Surplus: 3}}},
		{Key: "pool/y", Version: 6, Tenants: []wire.TenantUsage{{Tenant: "t", Weight: 2, Running: amount(500, 10), Runs: 1}}},
		{Key: "pool/y", Version: 5, Tenants: []wire.TenantUsage{{Tenant: "t", Weight: 2, Running: amount(7500, 10), Runs: 9}}},
	}

	It("adds up the usage of all pools, and uses the newest report of a key", func() {
		view := tenantview.Join(reports)
		Expect(view.Version).To(Equal(int64(7)))
		Expect(view.Tenants).To(HaveLen(2))
		row := view.Tenants[0]
		Expect(row.Tenant).To(Equal("t"))
		Expect(row.Part).To(Equal("count/1"))
		Expect(row.Running).To(Equal(*amount(4500, 310)))
		Expect(row.Granted).To(Equal(*amount(8000, 0)))
		Expect(row.Runs).To(Equal(5))
		Expect(row.WaitingJobs).To(Equal(2))
		Expect(row.Share).To(Equal(0.25))
		Expect(tenantview.Join(nil).Tenants).To(BeEmpty())
	})

	It("is written as a table, the tenant with the most CPU first, and as JSON", func() {
		var table, text bytes.Buffer
		Expect(tenantview.Join(reports).WriteTable(&table, true)).To(Succeed())
		lines := strings.Split(strings.TrimSpace(table.String()), "\n")
		Expect(lines).To(HaveLen(5))
		Expect(strings.Fields(lines[1])).To(Equal([]string{"u", "1", "0.000", "-", "0/0", "9/1", "1", "0/0", "0", "3", "-"}))
		Expect(strings.Fields(lines[2])).To(Equal([]string{"t", "2", "0.250", "8/-", "8/0", "4.5/310", "5", "1/100", "2", "0", "count/1"}))
		Expect(strings.Fields(lines[3])).To(Equal([]string{"pool/x", "5/0", "wants", "9/10"}))
		Expect(tenantview.Join(reports).WriteJSON(&text)).To(Succeed())
		Expect(text.String()).To(ContainSubstring(`"config-version": 7`))
	})
})
