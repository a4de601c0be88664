package main

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"gannetline/internal/testsupport/golden"
)

// writeCommand lists a command with its flags, and then the commands below it.
func writeCommand(lines *strings.Builder, path string, command *cli.Command) {
	lines.WriteString(path + "\n")
	for _, flag := range command.Flags {
		lines.WriteString(path + " --" + strings.Join(flag.Names(), " --") + "\n")
	}
	for _, inner := range command.Commands {
		writeCommand(lines, path+" "+inner.Name, inner)
	}
}

var _ = Describe("what operators and their scripts name", func() {
	It("is kept for commands and flags", func() {
		var lines strings.Builder
		writeCommand(&lines, "gannetline", newApplication())
		Expect(golden.CheckText("testdata/commands.txt", lines.String())).To(Succeed())
	})

	It("is kept in the deploy file", func() {
		text, err := os.ReadFile("../../deploy/system.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(golden.CheckText("testdata/system.toml", string(text))).To(Succeed())
	})
})
