package client

import (
	"os"
	"os/exec"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// application is a program in another module that imports the package.
const application = `package main

import (
	"context"
	"fmt"

	"gannetline/client"
)

func main() {
	stewards, err := client.New([]string{"10.0.0.1:8166"})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(stewards.Number(context.Background(), "invoices"))
}
`

var _ = It("package client can be imported by another module as docs/locks.md describes", func() {
	root, err := filepath.Abs("..")
	Expect(err).NotTo(HaveOccurred())
	folder := GinkgoT().TempDir()
	for _, name := range []string{"go.mod", "go.sum"} {
		content, err := os.ReadFile(filepath.Join(root, name))
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(folder, name), content, 0o644)).To(Succeed())
	}
	Expect(os.WriteFile(filepath.Join(folder, "main.go"), []byte(application), 0o644)).To(Succeed())
	// The copied go.mod and go.sum hold the requirements that "go mod tidy" would add in the other module.
	for _, arguments := range [][]string{{"mod", "edit", "-module=shop", "-require=gannetline@v0.0.0", "-replace=gannetline=" + root},
		{"vet", "-mod=mod", "."}, {"build", "-mod=mod", "-o", filepath.Join(folder, "shop"), "."}} {
		command := exec.Command("go", arguments...)
		command.Dir, command.Env = folder, append(os.Environ(), "GOWORK=off", "GOFLAGS=")
		output, err := command.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), "go %v: %s", arguments, output)
	}
})
