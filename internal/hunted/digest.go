package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"
)

const (
	// daemonCommand is the package of the program that all roles run.
	daemonCommand = "./cmd/gannetline"
	// digestLength is how many hex digits of a digest are written.
	digestLength = 12
)

// buildFiles belong to what is built and deployed beside the sources.
var buildFiles = []string{"go.mod", "go.sum", "deploy/system.toml"}

// listedPackage is what go list tells of a package.
type listedPackage struct {
	Dir        string
	Standard   bool
	Module     *listedModule
	GoFiles    []string
	CgoFiles   []string
	EmbedFiles []string
}

type listedModule struct{ Main bool }

// digestOf gives the digest of the daemons' sources in a work tree, or in a commit of its repository.
func digestOf(root, commit string) (string, error) {
	if commit == "" {
		return digestOfTree(root)
	}
	tree, err := os.MkdirTemp("", "hunted")
	if err != nil {
		return "", errors.Annotate(err, "making a folder for the commit's files")
	}
	defer os.RemoveAll(tree)
	if err := extract(root, commit, tree); err != nil {
		return "", err
	}
	return digestOfTree(tree)
}

// extract writes the files of a commit to a folder.
func extract(root, commit, folder string) error {
	archive, err := exec.Command("git", "-C", root, "archive", "--format=tar", commit, ":!journal").Output()
	if err != nil {
		return errors.Annotatef(err, "reading the files of commit %s", commit)
	}
	unpack := exec.Command("tar", "-C", folder, "-xf", "-")
	unpack.Stdin = bytes.NewReader(archive)
	return errors.Annotatef(unpack.Run(), "unpacking commit %s", commit)
}

func digestOfTree(root string) (string, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return "", errors.Annotatef(err, "folder %s", root)
	}
	files, err := daemonFiles(root)
	if err != nil {
		return "", err
	}
	sum := sha256.New()
	for _, name := range files {
		content, err := os.ReadFile(filepath.Join(root, name))
		if err != nil {
			return "", errors.Annotate(err, "digest")
		}
		fileSum := sha256.Sum256(content)
		io.WriteString(sum, name+"\x00"+hex.EncodeToString(fileSum[:])+"\n")
	}
	return hex.EncodeToString(sum.Sum(nil))[:digestLength], nil
}

// daemonFiles are the files that the program is built from, by their paths from root, in order.
func daemonFiles(root string) ([]string, error) {
	list := exec.Command("go", "list", "-deps", "-json=Dir,Standard,Module,GoFiles,CgoFiles,EmbedFiles", daemonCommand)
	list.Dir = root
	list.Env = append(os.Environ(), "GOFLAGS=", "GOWORK=off")
	text, err := list.Output()
	if err != nil {
		return nil, errors.Annotatef(err, "listing the packages of %s", daemonCommand)
	}
	files := slices.Clone(buildFiles)
	for decoder := json.NewDecoder(bytes.NewReader(text)); decoder.More(); {
		var listed listedPackage
		if err := decoder.Decode(&listed); err != nil {
			return nil, errors.Annotate(err, "reading the list of packages")
		}
		if listed.Standard || listed.Module == nil || !listed.Module.Main {
			continue
		}
		folder, err := filepath.Rel(root, listed.Dir)
		if err != nil || strings.HasPrefix(folder, "..") {
			return nil, errors.Errorf("package in %s is not below %s", listed.Dir, root)
		}
		for _, name := range slices.Concat(listed.GoFiles, listed.CgoFiles, listed.EmbedFiles) {
			files = append(files, filepath.ToSlash(filepath.Join(folder, name)))
		}
	}
	slices.Sort(files)
	return files, nil
}
