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

// grantTimeout limits a call of a pool to a partition of the tenant count.
const grantTimeout = time.Second

// cachedTenantPolicy is the tenant policy that was computed from a snapshot of the configuration.
type cachedTenantPolicy struct {
	snapshot *configcache.Snapshot
	policy   scheduler.TenantPolicy
}

// currentTenantPolicy returns the tenant policy of the configuration in force, an empty policy before the first configuration. Any goroutine
// may call it.
func (m *Manager) currentTenantPolicy() scheduler.TenantPolicy {
	snapshot := m.Configurations.Current()
	if snapshot == nil {
		return scheduler.TenantPolicy{}
	}
	cached := m.tenantPolicy.Load()
	if cached == nil || cached.snapshot != snapshot {
		cached = &cachedTenantPolicy{snapshot, readTenantPolicy(snapshot)}
		m.tenantPolicy.Store(cached)
	}
	return cached.policy
}

// readTenantPolicy computes the tenant policy from a snapshot of the configuration.
func readTenantPolicy(snapshot *configcache.Snapshot) scheduler.TenantPolicy {
	tenants := snapshot.Matcher.Configuration().Tenants
	policy := scheduler.TenantPolicy{Version: snapshot.Committed.Version, Terms: make(map[string]scheduler.TenantTerms, len(tenants))}
	for _, tenant := range tenants {
		policy.Terms[tenant.Name] = scheduler.TenantTerms{Weight: tenant.Weight, Limit: convertLimit(tenant.Limit)}
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

// currentCountPolicy returns the tenant limits of the configuration in force, for the partitions of the tenant count. Any goroutine may
// call it.
func (m *Manager) currentCountPolicy() countleader.Policy {
	snapshot := m.Configurations.Current()
	if snapshot == nil {
		return countleader.Policy{Limits: func(string) (placement.Resources, bool) { return placement.Resources{}, false }}
	}
	return countleader.Policy{Version: snapshot.Committed.Version, Limits: func(name string) (placement.Resources, bool) {
		tenant := snapshot.Matcher.Tenant(name)
		if tenant == nil {
			return placement.Resources{}, false
		}
		return convertLimit(tenant.Limit), true
	}}
}

// convertLimit converts a limit of the configuration, where 0 means unlimited, to placement resources, where 0 means no
// resources.
func convertLimit(limit configuration.UpperLimit) placement.Resources {
	return placement.Resources{CPU: orUnlimited(limit.CPU), Memory: orUnlimited(limit.Memory), GPU: orUnlimited(limit.GPU)}
}

func orUnlimited(limit int64) int64 {
	if limit == 0 {
		return placement.Unlimited
	}
	return limit
}

// countCaller sends calls of a pool to the leaders of the partitions of the tenant count and passes the answers to the pool's goroutine.
type countCaller struct {
	manager *Manager
	mailbox *mailbox.Mailbox
	ctx     context.Context
}

// Ask calls the leader of a partition. The function answer runs later on the pool's goroutine, with nil if no leader has decided.
func (c *countCaller) Ask(part int, call *wire.GrantCall, answer func(*wire.GrantAnswer)) {
	go func() {
		granted := c.callLeader(part, call)
		c.mailbox.Post(func() { answer(granted) })
	}()
}

// callLeader sends a call to the leader of a partition and waits for the answer. It returns nil if no leader has decided.
func (c *countCaller) callLeader(part int, call *wire.GrantCall) *wire.GrantAnswer {
	body, err := easyjson.Marshal(call)
	if err != nil {
		c.manager.Log.Error(err, "encoding the call to the tenant count failed", "key", tenantcount.KeyOf(part))
		return nil
	}
	outcome := c.manager.AskLeader(c.ctx, &wire.ClientCall{Key: tenantcount.KeyOf(part), Verb: wire.VerbGrant, Body: body}, grantTimeout, 0)
	if outcome.Answer == nil || outcome.Answer.Status != http.StatusOK {
		return nil
	}
	granted := &wire.GrantAnswer{}
	if err := easyjson.Unmarshal(outcome.Answer.Body, granted); err != nil {
		c.manager.Log.Error(err, "decoding the answer of the tenant count failed", "key", tenantcount.KeyOf(part))
		return nil
	}
	return granted
}

// Tenants returns the tenant reports of the pools and of the partitions of the tenant count that this process leads. It omits those that do
// not answer before ctx is done.
func (m *Manager) Tenants(ctx context.Context, _ *wire.TenantsCall) (*wire.TenantsAnswer, error) {
	return &wire.TenantsAnswer{Reports: collectReports[wire.TenantCountReport](ctx, m, wire.VerbTenants)}, nil
}
