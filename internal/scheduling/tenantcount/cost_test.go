package tenantcount

import (
	"fmt"
	"testing"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

// The number of tenants in the benchmarks, and of pools that share the tenants' limits.
const (
	costTenants = 110
	costPools   = 5
)

func tenantName(number int) string { return fmt.Sprintf("team-%03d", number) }

func costLimits(string) (placement.Resources, bool) {
	return placement.Resources{CPU: 1_000_000, Memory: 2_000_000, GPU: placement.Unlimited}, true
}

// costCall returns a call of a pool for all tenants of a partition. The demand changes slightly from call to call.
func costCall(part, pool int, number uint64) *wire.GrantCall {
	call := &wire.GrantCall{Asker: fmt.Sprintf("pool/%d", pool), Epoch: 1, Number: number}
	for tenant := range costTenants {
		if PartOf(tenantName(tenant)) != part {
			continue
		}
		amount := wire.Capacity{CPU: 100_000 + int64(number%7)*1000, Memory: 200_000}
		call.Tenants = append(call.Tenants, wire.TenantDemand{Tenant: tenantName(tenant), Has: amount, Used: amount, Wants: amount})
	}
	return call
}

// BenchmarkHandleCall measures a partition's decision on one call of a pool for all tenants of the partition.
func BenchmarkHandleCall(b *testing.B) {
	part, err := NewPart(nil, 0)
	if err != nil {
		b.Fatal(err)
	}
	var records, bytes int
	for index := range b.N {
		_, ops, err := part.HandleCall(costCall(0, index%costPools, uint64(index/costPools)+1), costLimits, time.Duration(index)*time.Millisecond)
		if err != nil {
			b.Fatal(err)
		}
		for _, op := range ops {
			records++
			bytes += len(op.Name) + len(op.Value)
		}
	}
	if records > 0 {
		b.ReportMetric(float64(bytes)/float64(records), "bytes/record")
	}
}

// BenchmarkIdleTick measures a tick of a pool that shares no tenants with others, when nothing is due.
func BenchmarkIdleTick(b *testing.B) {
	accounts, err := NewAccounts("pool/0", 1, nil)
	if err != nil {
		b.Fatal(err)
	}
	demands := map[string]Demand{}
	limit, _ := costLimits("")
	for tenant := range costTenants {
		demands[tenantName(tenant)] = Demand{Used: cpu(1000), Wants: cpu(2000), Limit: limit}
	}
	policy, now := Policy{Version: 1}, time.Second
	for part := range Parts {
		call := accounts.Next(part, demands, policy, now)
		answer := &wire.GrantAnswer{Number: call.Number, Version: 1}
		for _, demand := range call.Tenants {
			answer.Tenants = append(answer.Tenants, wire.TenantGrant{Tenant: demand.Tenant, Granted: CapacityOf(onlyLimited(limit, limit)),
				Target: CapacityOf(onlyLimited(limit, limit)), HasWholeLimit: true, IsSettled: true})
		}
		for _, change := range accounts.HandleAnswer(part, call.Number, answer, now) {
			accounts.HandleCommit(change.Tenant)
		}
	}
	b.ResetTimer()
	for index := range b.N {
		now = time.Second + time.Duration(index)*50*time.Millisecond
		for tenant, demand := range demands {
			if accounts.Lower(tenant, demand) != nil {
				b.Fatal("nothing is to be given back")
			}
		}
		for part := range Parts {
			if accounts.Next(part, demands, policy, now) != nil {
				b.Fatal("nothing is due")
			}
		}
	}
}
