package configuration

import (
	"crypto/sha256"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// UpperLimit is what a tenant may have running over all executors; 0 is no limit of that resource. CPU is in thousandths of a core,
// Memory in MB.
type UpperLimit struct {
	CPU, Memory, GPU int64
	// unknown names the units that this program has no count of.
	unknown []string
}

// UnmarshalEasyJSON reads an object with a field for each unit. A bare number is a limit of another kind of work than jobs, and no
// limit of theirs.
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

// MarshalEasyJSON writes all units.
func (u UpperLimit) MarshalEasyJSON(out *jwriter.Writer) {
	out.RawString(`{"cpu-units":`)
	out.Int64(u.CPU)
	out.RawString(`,"memory-req-mb":`)
	out.Int64(u.Memory)
	out.RawString(`,"gpu-count":`)
	out.Int64(u.GPU)
	out.RawByte('}')
}

// checkTenants checks each tenant's fields, and that no two have the same name or a key in common. A text that names a key at fault
// shows its owner and not the key.
func (c *Configuration) checkTenants(problems *problems) {
	names, holders := map[string]bool{}, map[string]string{}
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
			if holder, isHeld := holders[key]; isHeld && holder != tenant.Name {
				problems.add("", "field api-keys: tenants %q and %q share a key", holder, tenant.Name)
			}
			holders[key] = tenant.Name
		}
	}
}

// keyDigest is what a key is looked up by: the time that a look-up takes then tells nothing about the keys that there are.
type keyDigest [sha256.Size]byte

// tenantIndex finds tenants by their keys and names; it holds no key.
type tenantIndex struct {
	byKey  map[keyDigest]int
	byName map[string]int
}

func newTenantIndex(tenants []Tenant) tenantIndex {
	index := tenantIndex{byKey: map[keyDigest]int{}, byName: map[string]int{}}
	for place, tenant := range tenants {
		index.byName[tenant.Name] = place
		for _, key := range tenant.Keys {
			index.byKey[sha256.Sum256([]byte(key))] = place
		}
	}
	return index
}

// NeedsKey tells whether a call on a route has to bear the key of a tenant.
func (m *Matcher) NeedsKey(route *Route) bool {
	return m.configuration.Tenants != nil && !route.IsPublic
}

// NeedsKeyForLots tells whether a call about a lot of a host has to bear the key of a tenant: unless the host has a public route for lots,
// or none at all.
func (m *Matcher) NeedsKeyForLots(host string) bool {
	hasLots := false
	for _, index := range m.byHost[hostName(host)] {
		route := &m.configuration.Routes[index]
		if route.Type != RouteBatch {
			continue
		}
		if !m.NeedsKey(route) {
			return false
		}
		hasLots = true
	}
	return hasLots
}

// TenantOfKey gives the tenant that holds a key, nil if none does.
func (m *Matcher) TenantOfKey(key string) *Tenant {
	if place, exists := m.tenants.byKey[sha256.Sum256([]byte(key))]; exists {
		return &m.configuration.Tenants[place]
	}
	return nil
}

// Tenant gives a tenant by its name, nil if there is none.
func (m *Matcher) Tenant(name string) *Tenant {
	if place, exists := m.tenants.byName[name]; exists {
		return &m.configuration.Tenants[place]
	}
	return nil
}
