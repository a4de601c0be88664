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

// layers are the layers of the folders of internal/ from the lowest to the highest. A folder may not import a folder of a higher layer or
// another folder of its own layer. docs/architecture.md shows the layers.
var layers = [][]string{{"platform"}, {"cluster"}, {"scheduling"}, {"node", "gate", "control"}, {"roles"}, {"simulation"}}

const internalPrefix = "gannetline/internal/"

// layerOf returns the index of the layer of a folder, or -1 if it belongs to no layer.
func layerOf(folder string) int {
	return slices.IndexFunc(layers, func(folders []string) bool { return slices.Contains(folders, folder) })
}

// folderOf returns the first element of a path below internal/.
func folderOf(path string) string {
	folder, _, _ := strings.Cut(path, "/")
	return folder
}

var _ = Describe("the layers of internal", func() {
	It("have no import of a higher layer or of another folder in the same layer", func() {
		var violations []string
		importCount := 0
		err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
			isSource := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
			if err != nil || entry.IsDir() || !isSource {
				return err
			}
			relativePath, err := filepath.Rel("..", path)
			if err != nil {
				return err
			}
			importer := folderOf(filepath.ToSlash(relativePath))
			if layerOf(importer) < 0 {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, importSpec := range file.Imports {
				name, err := strconv.Unquote(importSpec.Path.Value)
				if err != nil {
					return err
				}
				importee, isOwn := strings.CutPrefix(name, internalPrefix)
				if !isOwn {
					continue
				}
				importCount++
				if importee = folderOf(importee); importee != importer && layerOf(importee) >= layerOf(importer) {
					violations = append(violations, relativePath+" imports "+name)
				}
			}
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(importCount).To(BeNumerically(">", 100))
		Expect(violations).To(BeEmpty())
	})
})
