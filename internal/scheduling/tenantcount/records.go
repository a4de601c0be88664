package tenantcount

import (
	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jwriter"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

// amountRecord is the stored form of an amount of resources.
type amountRecord struct {
	CPU    int64 `json:"c,omitempty"`
	Memory int64 `json:"m,omitempty"`
	GPU    int64 `json:"g,omitempty"`
}

// grantRecord is the stored form of a grant. Epoch and Number identify the call that last raised it.
type grantRecord struct {
	Tenant string       `json:"tenant"`
	Asker  string       `json:"asker"`
	Amount amountRecord `json:"amount"`
	Epoch  uint64       `json:"epoch"`
	Number uint64       `json:"number"`
}

// accountRecord is the stored form of an account of a pool.
type accountRecord struct {
	Amount        amountRecord `json:"amount"`
	HasWholeLimit bool         `json:"whole,omitempty"`
}

// encode returns a record as JSON. It can't fail, because records hold only numbers, strings and booleans.
func encode(record easyjson.Marshaler) []byte {
	var writer jwriter.Writer
	record.MarshalEasyJSON(&writer)
	return writer.Buffer.BuildBytes()
}

func amountOf(amount placement.Resources) amountRecord {
	return amountRecord{CPU: amount.CPU, Memory: amount.Memory, GPU: amount.GPU}
}

func (a amountRecord) resources() placement.Resources {
	return placement.Resources{CPU: a.CPU, Memory: a.Memory, GPU: a.GPU}
}

func resourcesOf(capacity wire.Capacity) placement.Resources {
	return placement.Resources{CPU: capacity.CPU, Memory: capacity.Memory, GPU: capacity.GPU}
}

// CapacityOf converts an amount to its form in messages.
func CapacityOf(resources placement.Resources) wire.Capacity {
	return wire.Capacity{CPU: resources.CPU, Memory: resources.Memory, GPU: resources.GPU}
}
