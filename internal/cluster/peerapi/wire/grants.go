package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all grants.go

// GrantCall is a call of the leader of a pool to the leader of a partition of the tenant count. It asks for allowances of some tenants. A
// call without tenants only asks which allowances the pool should give back.
type GrantCall struct {
	// Asker is the key of the pool, Epoch the epoch of its leader, and Number rises with each call of that leader.
	Asker  string `json:"asker"`
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
	// Tenants are in the order of their names.
	Tenants []TenantDemand `json:"tenants,omitempty"`
}

// TenantDemand is the demand of a pool for one tenant. Has is the maximum that the pool may use until it gets an answer to this call or to a
// later one. Used is the amount that its runs use, and Wants the amount that they and its waiting tasks need together. Lasting is the part of
// Used that is used by runs which don't end by themselves. NextNeed is what the work that has waited longest needs at once: a task, or all
// members of a gang. FinishedTurn is the last turn in which the pool has started such work. A pool that shares no tenants leaves out these
// three. MayOvershoot is set if the pool may exceed the limit with one task before it gets an answer to this call or to a later one.
type TenantDemand struct {
	Tenant string   `json:"tenant"`
	Has    Capacity `json:"has"`
	Used   Capacity `json:"used"`
	Wants  Capacity `json:"wants"`

	Lasting      *Capacity `json:"lasting,omitempty"`
	NextNeed     *Capacity `json:"next-need,omitempty"`
	FinishedTurn uint64    `json:"finished-turn,omitempty"`
	MayOvershoot bool      `json:"may-overshoot,omitempty"`
}

// GrantAnswer answers the call with the same number.
type GrantAnswer struct {
	Number uint64 `json:"number"`
	// Version is the version of the configuration with the limits.
	Version int64         `json:"version"`
	Tenants []TenantGrant `json:"tenants,omitempty"`
}

// TenantGrant is the part of a tenant's limit that a pool may use from now on. Target is the amount that the pool should have, given the
// demand of all pools. If it is below Granted, the pool should return the difference.
type TenantGrant struct {
	Tenant  string   `json:"tenant"`
	Granted Capacity `json:"granted"`
	Target  Capacity `json:"target"`
	// HasWholeLimit is set if the pool holds the whole limit, so that no other pool may start runs under it.
	HasWholeLimit bool `json:"whole,omitempty"`
	// IsSettled is set if all pools together hold no more than the limit of the configuration by which the partition decided.
	IsSettled bool `json:"settled,omitempty"`
	// Turn identifies the pool's current turn to hold more than its fair share of the limit; 0 if the pool has none.
	Turn uint64 `json:"turn,omitempty"`
}

// TenantsCall asks a steward for reports of the tenants in the pools and partitions of the tenant count that it leads.
type TenantsCall struct{}

// TenantsAnswer holds a report of each such key that the steward leads.
type TenantsAnswer struct {
	Reports []TenantCountReport `json:"reports,omitempty"`
}

// TenantCountReport describes the tenants of a pool, or of a partition of the tenant count, for operators.
type TenantCountReport struct {
	Key     string        `json:"key"`
	Version int64         `json:"version,omitempty"`
	Tenants []TenantUsage `json:"tenants"`
}

// TenantUsage is the row of one tenant. A partition of the tenant count fills in Limit, Grants and Turn, a pool the other fields. Turn is the
// pool that may hold more than its fair share of the limit now, so that its largest waiting work can start. Surplus counts
// the open jobs that were submitted above the tenant's rate, which is Weight in jobs per second. Share is the fraction of the pool's capacity,
// from 0 to 1, that the tenant is entitled to when all of it is in use; it is 0 for a tenant without work. Allowance is the amount that the
// tenant's runs may use in the pool.
type TenantUsage struct {
	Tenant      string        `json:"tenant"`
	Weight      float64       `json:"weight,omitempty"`
	Limit       *Capacity     `json:"limit,omitempty"`
	Grants      []TenantShare `json:"grants,omitempty"`
	Turn        string        `json:"turn,omitempty"`
	Running     *Capacity     `json:"running,omitempty"`
	Runs        int           `json:"runs,omitempty"`
	Waiting     *Capacity     `json:"waiting,omitempty"`
	WaitingJobs int           `json:"waiting-jobs,omitempty"`
	Surplus     int           `json:"surplus-jobs,omitempty"`
	Share       float64       `json:"share,omitempty"`
	Allowance   *Capacity     `json:"allowance,omitempty"`
}

// TenantShare is the part of a tenant's limit that a pool was granted, and the amount that it last asked for.
type TenantShare struct {
	Asker   string   `json:"asker"`
	Granted Capacity `json:"granted"`
	Wants   Capacity `json:"wants"`
}
