package tenantcount

import (
	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jwriter"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

// amountRecord is an amount as it is stored.
type amountRecord struct {
	CPU    int64 `json:"c,omitempty"`
	Memory int64 `json:"m,omitempty"`
	GPU    int64 `json:"g,omitempty"`
}

// grantRecord is what a part keeps of a grant: Epoch and Number are those of the call that last raised it.
type grantRecord struct {
	Tenant string       `json:"tenant"`
	Asker  string       `json:"asker"`
	Amount amountRecord `json:"amount"`
	Epoch  uint64       `json:"epoch"`
	Number uint64       `json:"number"`
}

// accountRecord is what a pool keeps of its allowance.
type accountRecord struct {
	Amount        amountRecord `json:"amount"`
	HasWholeLimit bool         `json:"whole,omitempty"`
}

// encode is the text of a record, which holds nothing that could fail to be written: numbers, texts and truth values.
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

// CapacityOf says an amount as it is sent.
func CapacityOf(resources placement.Resources) wire.Capacity {
	return wire.Capacity{CPU: resources.CPU, Memory: resources.Memory, GPU: resources.GPU}
}
