package configuration

import (
	"crypto/sha256"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// UpperLimit bounds the resources of a tenant's running tasks over all executors. 0 is no limit of that resource. CPU is in thousandths
// of a core, Memory in MB.
type UpperLimit struct {
	CPU, Memory, GPU int64
	// unknown holds the names of resources that this program doesn't know.
	unknown []string
}

// UnmarshalEasyJSON decodes an object with a field for each resource. Any other JSON value is no limit; a bare number limits only work other
// than jobs.
func (u *UpperLimit) UnmarshalEasyJSON(in *jlexer.Lexer) {
	*u = UpperLimit{}
	if !in.IsDelim('{') {
		in.SkipRecursive()
		return
	}
	in.Delim('{')
	for !in.IsDelim('}') {
		unit := in.String()
		in.WantColon()
		switch unit {
		case "cpu-units":
			u.CPU = in.Int64()
		case "memory-req-mb":
			u.Memory = in.Int64()
		case "gpu-count":
			u.GPU = in.Int64()
		default:
			u.unknown = append(u.unknown, unit)
			in.SkipRecursive()
		}
		in.WantComma()
	}
	in.Delim('}')
}

// MarshalEasyJSON encodes an object with all resources, also those without a limit.
func (u UpperLimit) MarshalEasyJSON(out *jwriter.Writer) {
	out.RawString(`{"cpu-units":`)
	out.Int64(u.CPU)
	out.RawString(`,"memory-req-mb":`)
	out.Int64(u.Memory)
	out.RawString(`,"gpu-count":`)
	out.Int64(u.GPU)
	out.RawByte('}')
}

// checkTenants checks each tenant's fields, and that no two tenants share a name or an API key. API keys are secret: an error about one
// names its tenant, never the key.
func (c *Configuration) checkTenants(problems *problems) {
	names, ownerOf := map[string]bool{}, map[string]string{}
	for _, tenant := range c.Tenants {
		switch {
		case tenant.Name == "":
			problems.add("", "field tenant-list: a tenant has no name")
		case names[tenant.Name]:
			problems.add("", "field tenant-list: %q stands twice", tenant.Name)
		}
		names[tenant.Name] = true
		if tenant.Weight < 0 {
			problems.add("", "field weight of tenant %q is negative", tenant.Name)
		}
		if tenant.Limit.CPU < 0 || tenant.Limit.Memory < 0 || tenant.Limit.GPU < 0 {
			problems.add("", "field upper-limit of tenant %q is negative", tenant.Name)
		}
		for _, unit := range tenant.Limit.unknown {
			problems.add("", "field upper-limit of tenant %q has the unknown unit %q", tenant.Name, unit)
		}
		for _, key := range tenant.Keys {
			if key == "" {
				problems.add("", "field api-keys of tenant %q has an empty key", tenant.Name)
			}
			if owner, isOwned := ownerOf[key]; isOwned && owner != tenant.Name {
				problems.add("", "field api-keys: tenants %q and %q share a key", owner, tenant.Name)
			}
			ownerOf[key] = tenant.Name
		}
	}
}

// keyDigest is the hash of an API key. Keys are looked up by their hashes, so that the time of a look-up reveals nothing about other keys.
type keyDigest [sha256.Size]byte

// tenantIndex maps the digests of API keys, and names, to indices in the list of tenants. It holds no API key.
type tenantIndex struct {
	byKey  map[keyDigest]int
	byName map[string]int
}

func newTenantIndex(tenants []Tenant) tenantIndex {
	index := tenantIndex{byKey: map[keyDigest]int{}, byName: map[string]int{}}
	for position, tenant := range tenants {
		index.byName[tenant.Name] = position
		for _, key := range tenant.Keys {
			index.byKey[sha256.Sum256([]byte(key))] = position
		}
	}
	return index
}

// NeedsKey reports whether a call on a route needs the API key of a tenant.
func (m *Matcher) NeedsKey(route *Route) bool {
	return m.HasTenants() && !route.IsPublic
}

// LotKeyRule states which calls about the lots of a host are allowed without the API key of a tenant.
type LotKeyRule int

const (
	// LotKeyNeeded allows only calls with the key of a tenant.
	LotKeyNeeded LotKeyRule = iota
	// LotKeyOptional allows calls without a key too. The host has no route for lots, but there may be lots without a tenant, which were
	// submitted before their public route was removed.
	LotKeyOptional
	// LotKeyIgnored allows all calls, whatever key they carry. The host has a public route for lots, or the configuration has no tenants.
	LotKeyIgnored
)

// LotKeyRule returns the rule for calls about submitted lots, which name their host but no route.
func (m *Matcher) LotKeyRule(host string) LotKeyRule {
	if !m.HasTenants() {
		return LotKeyIgnored
	}
	rule := LotKeyOptional
	for _, index := range m.byHost[hostName(host)] {
		route := &m.configuration.Routes[index]
		if route.Type != RouteBatch {
			continue
		}
		if route.IsPublic {
			return LotKeyIgnored
		}
		rule = LotKeyNeeded
	}
	return rule
}

// HasTenants reports whether the configuration has a list of tenants.
func (m *Matcher) HasTenants() bool { return m.configuration.Tenants != nil }

// TenantOfKey returns the tenant of an API key, nil if the key is unknown.
func (m *Matcher) TenantOfKey(key string) *Tenant {
	if index, exists := m.tenants.byKey[sha256.Sum256([]byte(key))]; exists {
		return &m.configuration.Tenants[index]
	}
	return nil
}

// Tenant returns the tenant of a name, nil if there is none.
func (m *Matcher) Tenant(name string) *Tenant {
	if index, exists := m.tenants.byName[name]; exists {
		return &m.configuration.Tenants[index]
	}
	return nil
}
