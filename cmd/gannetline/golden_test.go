package main

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"gannetline/internal/testsupport/golden"
)

// writeCommand writes a line for a command, a line for each of its flags, and then the lines of its subcommands.
func writeCommand(lines *strings.Builder, path string, command *cli.Command) {
	lines.WriteString(path + "\n")
	for _, flag := range command.Flags {
		lines.WriteString(path + " --" + strings.Join(flag.Names(), " --") + "\n")
	}
	for _, subcommand := range command.Commands {
		writeCommand(lines, path+" "+subcommand.Name, subcommand)
	}
}

var _ = Describe("names that operators and their scripts use", func() {
	It("are unchanged for commands and flags", func() {
		var lines strings.Builder
		writeCommand(&lines, "gannetline", newApplication())
		Expect(golden.CheckText("testdata/commands.txt", lines.String())).To(Succeed())
	})

	It("are unchanged in the deploy file", func() {
		text, err := os.ReadFile("../../deploy/system.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(golden.CheckText("testdata/system.toml", string(text))).To(Succeed())
	})
})
