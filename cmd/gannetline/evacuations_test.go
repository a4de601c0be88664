package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/evacuationview"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("the commands for evacuations", func() {
	It("show the load of evacuated zones, and which processes know the newest order", func() {
		var members []wire.Member
		process := func(name, role string, known *wire.Evacuations, loads ...wire.ZoneLoad) string {
			address, mux := scriptedProcess("")
			view := func() *membership.View {
				return &membership.View{Self: wire.Member{Name: name, Role: role}, Members: members, Evacuations: known}
			}
			comparenodes.Handle(mux, comparenodes.Sources{View: view})
			evacuationview.Handle(mux, view, func(context.Context) []wire.ZoneLoad { return loads })
			members = append(members, wire.Member{Name: name, Role: role, Address: address, State: wire.StateAlive})
			return address
		}
		newest := &wire.Evacuations{Number: 2, Zones: []wire.EvacuatedZone{{Zone: "north", SinceMs: 0}}}
		steward := process("s", membership.RoleSteward, newest, wire.ZoneLoad{Key: "pool/x", Zone: "north", Executors: 3, Runs: 4})
		process("g", "gate", &wire.Evacuations{Number: 1})
		output, code := runCommand("evacuations", "--of", steward)
		Expect(code).To(Equal(0))
		Expect(output).To(MatchRegexp(`north +emptying +1970-01-01T00:00:00Z +3 +4\norder 2 is known to 1 processes, not yet to g\n`))
		output, _ = runCommand("evacuations", "--of", steward, "--json")
		Expect(output).To(ContainSubstring(`"evacuation-number": 2`))
		members = append(members, wire.Member{Name: "h", Role: "gate", Address: deadAddress(), State: wire.StateAlive})
		output, code = runCommand("evacuations", "--of", steward)
		Expect(code).To(Equal(exitNoAnswer))
		Expect(output).To(ContainSubstring("emptying"))
	})

	It("begin and end an evacuation, or print why it is refused", func() {
		server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
			if !strings.HasPrefix(request.URL.Path, "/v1/evacuation/north/") {
				to.WriteHeader(http.StatusNotFound)
				to.Write([]byte(`{"error-text":"there is no zone of that name"}`))
			}
		}))
		DeferCleanup(server.Close)
		at := "--at=" + strings.TrimPrefix(server.URL, "http://")
		for _, step := range []struct {
			arguments []string
			output    string
			code      int
		}{
			{[]string{"north"}, "nothing new is sent to zone north\n", 0},
			{[]string{"--end", "north"}, "zone north is open\n", 0},
			{[]string{"nowhere"}, "there is no zone of that name", exitFailed},
			{[]string{"--end", "nowhere"}, "there is no zone of that name", exitFailed},
			{nil, "evacuate takes ZONE", exitUsage},
		} {
			output, code := runCommand(append([]string{"evacuate", at}, step.arguments...)...)
			Expect(output).To(Equal(step.output))
			Expect(code).To(Equal(step.code))
		}
		_, code := runCommand("evacuate", "--at="+deadAddress(), "--timeout=100ms", "north")
		Expect(code).To(Equal(exitNoAnswer))
	})
})
