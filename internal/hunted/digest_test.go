package main

import (
	"os"
	"os/exec"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sources is a repository in small: a program, a package that it needs with an embedded file, and what it doesn't need.
var sources = map[string]string{
	"go.mod":                     "module small\n\ngo 1.26\n",
	"go.sum":                     "",
	"deploy/system.toml":         "build = \"go build\"\n",
	"cmd/gannetline/main.go":     "package main\n\nimport \"small/needed\"\n\nfunc main() { println(needed.Text) }\n",
	"needed/needed.go":           "package needed\n\nimport _ \"embed\"\n\n//go:embed text.txt\nvar Text string\n",
	"needed/needed_test.go":      "package needed\n",
	"needed/text.txt":            "text",
	"unneeded/unneeded.go":       "package unneeded\n",
	"docs/page.md":               "page",
	"journal/20260101T0000.json": "{}",
}

func write(root, name, content string) {
	path := filepath.Join(root, name)
	Expect(os.MkdirAll(filepath.Dir(path), 0o755)).To(Succeed())
	Expect(os.WriteFile(path, []byte(content), 0o644)).To(Succeed())
}

func git(root string, arguments ...string) {
	command := exec.Command("git", append([]string{"-C", root, "-c", "user.name=n", "-c", "user.email=e"}, arguments...)...)
	text, err := command.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(text))
}

var _ = Describe("the digest of the daemons' sources", func() {
	var root, before string

	BeforeEach(func() {
		root = GinkgoT().TempDir()
		for name, content := range sources {
			write(root, name, content)
		}
		var err error
		before, err = digestOf(root, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(before).To(HaveLen(digestLength))
	})

	DescribeTable("changes only with what the program is built from", func(name string, isPart bool) {
		write(root, name, sources[name]+"\n// more\n")
		after, err := digestOf(root, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(after != before).To(Equal(isPart))
	},
		Entry("the command", "cmd/gannetline/main.go", true),
		Entry("a package that it needs", "needed/needed.go", true),
		Entry("an embedded file", "needed/text.txt", true),
		Entry("the module file", "go.mod", true),
		Entry("the deploy file", "deploy/system.toml", true),
		Entry("a test", "needed/needed_test.go", false),
		Entry("a package that it doesn't need", "unneeded/unneeded.go", false),
		Entry("a page", "docs/page.md", false),
		Entry("the journal", "journal/20260101T0000.json", false),
	)

	It("is the same for a commit and for the tree that it was made of", func() {
		git(root, "init", "-q")
		git(root, "add", "-A")
		git(root, "commit", "-q", "-m", "first")
		write(root, "needed/text.txt", "another")
		committed, err := digestOf(root, "HEAD")
		Expect(err).NotTo(HaveOccurred())
		Expect(committed).To(Equal(before))
	})

	It("names a commit that there isn't", func() {
		git(root, "init", "-q")
		_, err := digestOf(root, "nowhere")
		Expect(err).To(MatchError(ContainSubstring("nowhere")))
	})
})
