package main

import (
	"os"
	"os/exec"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sources holds the files of a small repository: a program, a package that it imports with an embedded file, and files that it doesn't need.
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

// write creates a file and its folder.
func write(root, name, content string) {
	path := filepath.Join(root, name)
	Expect(os.MkdirAll(filepath.Dir(path), 0o755)).To(Succeed())
	Expect(os.WriteFile(path, []byte(content), 0o644)).To(Succeed())
}

// git runs git in a repository.
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
		before, err = computeDigest(root, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(before).To(HaveLen(digestLength))
	})

	DescribeTable("changes only if a file of the build changes", func(name string, isBuildFile bool) {
		write(root, name, sources[name]+"\n// more\n")
		after, err := computeDigest(root, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(after != before).To(Equal(isBuildFile))
	},
		Entry("the command", "cmd/gannetline/main.go", true),
		Entry("an imported package", "needed/needed.go", true),
		Entry("an embedded file", "needed/text.txt", true),
		Entry("the module file", "go.mod", true),
		Entry("the deploy file", "deploy/system.toml", true),
		Entry("a test", "needed/needed_test.go", false),
		Entry("a package that isn't imported", "unneeded/unneeded.go", false),
		Entry("a page", "docs/page.md", false),
		Entry("the journal", "journal/20260101T0000.json", false),
	)

	It("is the same for a commit and for the work tree at that commit", func() {
		git(root, "init", "-q")
		git(root, "add", "-A")
		git(root, "commit", "-q", "-m", "first")
		write(root, "needed/text.txt", "another")
		committed, err := computeDigest(root, "HEAD")
		Expect(err).NotTo(HaveOccurred())
		Expect(committed).To(Equal(before))
	})

	It("names a commit that doesn't exist", func() {
		git(root, "init", "-q")
		_, err := computeDigest(root, "nowhere")
		Expect(err).To(MatchError(ContainSubstring("nowhere")))
	})
})
