package controlkeys

import (
	"context"
	"net/http"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/countleader"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/scheduling/tenantcount"
)

// grantTimeout is how long a pool waits for a part of the tenants' count.
const grantTimeout = time.Second

// cachedPolicy is what a snapshot of the configuration says of tenants, worked out once.
type cachedPolicy struct {
	snapshot *configcache.Snapshot
	policy   scheduler.TenantPolicy
}

// tenantPolicy is what the configuration in force says of tenants. Any goroutine may call it.
func (m *Manager) tenantPolicy() scheduler.TenantPolicy {
	snapshot := m.Configurations.Current()
	if snapshot == nil {
		return scheduler.TenantPolicy{}
	}
	cached := m.policies.Load()
	if cached == nil || cached.snapshot != snapshot {
		cached = &cachedPolicy{snapshot, policyOf(snapshot)}
		m.policies.Store(cached)
	}
	return cached.policy
}

// policyOf works out what a snapshot says of tenants.
func policyOf(snapshot *configcache.Snapshot) scheduler.TenantPolicy {
	tenants := snapshot.Matcher.Configuration().Tenants
	policy := scheduler.TenantPolicy{Version: snapshot.Committed.Version, Terms: make(map[string]scheduler.TenantTerms, len(tenants))}
	for _, tenant := range tenants {
		policy.Terms[tenant.Name] = scheduler.TenantTerms{Weight: tenant.Weight, Limit: limitOf(tenant.Limit)}
	}
	pools := 0
	for _, initial := range snapshot.Committed.InitialVoters {
		if initial.Key == "" {
			pools++
		}
	}
	policy.HasOtherPools = pools > 1
	return policy
}

// countPolicy is what the configuration in force says to the parts of the tenants' count. Any goroutine may call it.
func (m *Manager) countPolicy() countleader.Policy {
	snapshot := m.Configurations.Current()
	if snapshot == nil {
		return countleader.Policy{Limits: func(string) (placement.Resources, bool) { return placement.Resources{}, false }}
	}
	return countleader.Policy{Version: snapshot.Committed.Version, Limits: func(name string) (placement.Resources, bool) {
		tenant := snapshot.Matcher.Tenant(name)
		if tenant == nil {
			return placement.Resources{}, false
		}
		return limitOf(tenant.Limit), true
	}}
}

// limitOf says a limit as placement counts, where 0 is nothing and not everything.
func limitOf(limit configuration.UpperLimit) placement.Resources {
	return placement.Resources{CPU: orUnlimited(limit.CPU), Memory: orUnlimited(limit.Memory), GPU: orUnlimited(limit.GPU)}
}

func orUnlimited(limit int64) int64 {
	if limit == 0 {
		return placement.Unlimited
	}
	return limit
}

// countCaller carries the calls of a pool to the leaders of the parts, and the answers to the pool's goroutine.
type countCaller struct {
	manager *Manager
	mailbox *mailbox.Mailbox
	ctx     context.Context
}

// Ask calls the leader of a part; answer runs later on the pool's goroutine, with nil if no leader has decided.
func (c *countCaller) Ask(part int, call *wire.GrantCall, answer func(*wire.GrantAnswer)) {
	go func() {
		given := c.ask(part, call)
		c.mailbox.Post(func() { answer(given) })
	}()
}

func (c *countCaller) ask(part int, call *wire.GrantCall) *wire.GrantAnswer {
	body, err := easyjson.Marshal(call)
	if err != nil {
		c.manager.Log.Error(err, "call not written", "key", tenantcount.KeyOf(part))
		return nil
	}
	outcome := c.manager.AskLeader(c.ctx, &wire.ClientCall{Key: tenantcount.KeyOf(part), Verb: wire.VerbGrant, Body: body}, grantTimeout, 0)
	if outcome.Answer == nil || outcome.Answer.Status != http.StatusOK {
		return nil
	}
	given := &wire.GrantAnswer{}
	if err := easyjson.Unmarshal(outcome.Answer.Body, given); err != nil {
		c.manager.Log.Error(err, "answer not read", "key", tenantcount.KeyOf(part))
		return nil
	}
	return given
}

// Tenants gathers what the keys that are led here know of tenants. What can't be had before ctx is done is left out.
func (m *Manager) Tenants(ctx context.Context, _ *wire.TenantsCall) (*wire.TenantsAnswer, error) {
	return &wire.TenantsAnswer{Reports: gatherReports[wire.TenantCountReport](ctx, m, wire.VerbTenants)}, nil
}
