package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all grants.go

// GrantCall is what the leader of a pool asks of the leader of a count part: for some tenants, or for none to learn only which
// allowances it should give back.
type GrantCall struct {
	// Asker is the key of the pool, Epoch that of its leadership, and Number rises with each call of it.
	Asker  string `json:"asker"`
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
	// Tenants are in the order of their names.
	Tenants []TenantDemand `json:"tenants,omitempty"`
}

// TenantDemand is what a pool has and wants of one tenant. Has is the most that the pool may use until it gets an answer to this call
// or to a later one; Used is what its runs take, and Wants what they and the waiting tasks take together.
type TenantDemand struct {
	Tenant string   `json:"tenant"`
	Has    Capacity `json:"has"`
	Used   Capacity `json:"used"`
	Wants  Capacity `json:"wants"`
}

// GrantAnswer answers the call with the same number.
type GrantAnswer struct {
	Number uint64 `json:"number"`
	// Version is that of the configuration that the limits were taken from.
	Version int64         `json:"version"`
	Tenants []TenantGrant `json:"tenants,omitempty"`
}

// TenantGrant is what a pool may use of one tenant's limit from now on, and how much it should keep of that, as others want their part.
type TenantGrant struct {
	Tenant  string   `json:"tenant"`
	Granted Capacity `json:"granted"`
	Target  Capacity `json:"target"`
	// HasWholeLimit tells that the pool holds all of the limit, so that nobody else may start anything under it.
	HasWholeLimit bool `json:"whole,omitempty"`
	// IsSettled tells that all pools together hold no more than the limit of the configuration by which the part decided.
	IsSettled bool `json:"settled,omitempty"`
}

// TenantsCall asks a steward what it knows of tenants as the leader of pools and of count parts.
type TenantsCall struct{}

// TenantsAnswer has a report of each such key that the steward leads.
type TenantsAnswer struct {
	Reports []TenantCountReport `json:"reports,omitempty"`
}

// TenantCountReport is what the leader of a count part, or of a pool, tells an operator of its tenants.
type TenantCountReport struct {
	Key     string        `json:"key"`
	Version int64         `json:"version,omitempty"`
	Tenants []TenantUsage `json:"tenants"`
}

// TenantUsage is the row of one tenant. A count part fills in Limit and Grants, a pool the rest; Share is the part of the fleet, from 0
// to 1, that the tenant may count on once everything is full.
type TenantUsage struct {
	Tenant      string        `json:"tenant"`
	Weight      float64       `json:"weight,omitempty"`
	Limit       *Capacity     `json:"limit,omitempty"`
	Grants      []TenantShare `json:"grants,omitempty"`
	Running     *Capacity     `json:"running,omitempty"`
	Runs        int           `json:"runs,omitempty"`
	Waiting     *Capacity     `json:"waiting,omitempty"`
	WaitingJobs int           `json:"waiting-jobs,omitempty"`
	Surplus     int           `json:"surplus-jobs,omitempty"`
	Share       float64       `json:"share,omitempty"`
	Allowance   *Capacity     `json:"allowance,omitempty"`
}

// TenantShare is what one pool was granted of a tenant's limit and last said that it wants.
type TenantShare struct {
	Asker   string   `json:"asker"`
	Granted Capacity `json:"granted"`
	Wants   Capacity `json:"wants"`
}
