package evacuationview_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/evacuationview"
	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("the view of evacuations", func() {
	listOf := func(number int64, zones ...string) *wire.Evacuations {
		list := &wire.Evacuations{Number: number}
		for _, zone := range zones {
			list.Zones = append(list.Zones, wire.EvacuatedZone{Zone: zone, SinceMs: 1000})
		}
		return list
	}

	It("shows the newest list that any process knows, and names the processes that are behind", func() {
		view := evacuationview.Join([]wire.EvacuationsAnswer{{Name: "b", Evacuations: listOf(1)}, {Name: "c", Evacuations: listOf(2, "north")}, {Name: "a"}})
		Expect(view.Number).To(Equal(int64(2)))
		Expect(view.InformedCount).To(Equal(1))
		Expect(view.Behind).To(Equal([]string{"a", "b"}))
		Expect(view.Zones).To(Equal([]evacuationview.Zone{{Name: "north", IsEvacuated: true, SinceMs: 1000}}))
	})

	It("adds up executors and runs over pools, and uses only one report of a zone of a pool whose leader changes", func() {
		view := evacuationview.Join([]wire.EvacuationsAnswer{
			{Name: "a", Evacuations: listOf(1, "north"), Loads: []wire.ZoneLoad{{Key: "pool/x", Zone: "north", Executors: 1, Runs: 1}, {Key: "pool/y", Zone: "north", Executors: 2, Runs: 3}}},
			{Name: "b", Evacuations: listOf(1, "north"), Loads: []wire.ZoneLoad{{Key: "pool/x", Zone: "north", Executors: 4, Runs: 5}, {Key: "pool/x", Zone: "south", Executors: 1}}},
		})
		Expect(view.Zones).To(Equal([]evacuationview.Zone{{Name: "north", IsEvacuated: true, SinceMs: 1000, Executors: 6, Runs: 8}, {Name: "south", Executors: 1}}))
		Expect(view.Behind).To(BeEmpty())
	})

	It("is written as a table", func() {
		var table strings.Builder
		view := evacuationview.Join([]wire.EvacuationsAnswer{{Name: "a", Evacuations: listOf(3, "north", "west"),
			Loads: []wire.ZoneLoad{{Key: "p", Zone: "north", Executors: 2, Runs: 1}, {Key: "p", Zone: "south", Executors: 2, Runs: 2}}}, {Name: "b"}})
		Expect(view.WriteTable(&table)).To(Succeed())
		Expect(table.String()).To(MatchRegexp(`north +emptying +1970-01-01T00:00:01Z +2 +1\nsouth +open +- +2 +2\nwest +empty +1970-01-01T00:00:01Z +0 +0\n`))
		Expect(table.String()).To(HaveSuffix("order 3 is known to 1 processes, not yet to b\n"))
	})
})
