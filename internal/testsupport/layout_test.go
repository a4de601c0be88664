package testsupport_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// floors are the folders of internal/ from the lowest to the highest; a folder imports none of a higher floor, and none beside
// it on its own. docs/architecture.md draws them.
var floors = [][]string{{"platform"}, {"cluster"}, {"scheduling"}, {"node", "gate", "control"}, {"roles"}, {"simulation"}}

const internalPrefix = "gannetline/internal/"

// floorOf gives the floor of a folder, or -1.
func floorOf(folder string) int {
	return slices.IndexFunc(floors, func(folders []string) bool { return slices.Contains(folders, folder) })
}

// folderOf is the first part of a path below internal/.
func folderOf(path string) string {
	folder, _, _ := strings.Cut(path, "/")
	return folder
}

var _ = Describe("the folders of internal", func() {
	It("import nothing upward, and nothing of a folder on the same floor", func() {
		var wrong []string
		checked := 0
		err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
			isSource := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
			if err != nil || entry.IsDir() || !isSource {
				return err
			}
			below, err := filepath.Rel("..", path)
			if err != nil {
				return err
			}
			from := folderOf(filepath.ToSlash(below))
			if floorOf(from) < 0 {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, imported := range file.Imports {
				name, err := strconv.Unquote(imported.Path.Value)
				if err != nil {
					return err
				}
				to, isOwn := strings.CutPrefix(name, internalPrefix)
				if !isOwn {
					continue
				}
				checked++
				if to = folderOf(to); to != from && floorOf(to) >= floorOf(from) {
					wrong = append(wrong, below+" imports "+name)
				}
			}
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(checked).To(BeNumerically(">", 100))
		Expect(wrong).To(BeEmpty())
	})
})
