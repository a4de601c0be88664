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
	// daemonCommand is the main package of the daemons; all roles run this program.
	daemonCommand = "./cmd/gannetline"
	// digestLength is the length of a shortened digest in hex digits.
	digestLength = 12
)

// buildFiles are files other than sources that affect what is built or deployed.
var buildFiles = []string{"go.mod", "go.sum", "deploy/system.toml"}

// listedPackage holds the fields of a package in the output of go list.
type listedPackage struct {
	Dir        string
	Standard   bool
	Module     *listedModule
	GoFiles    []string
	CgoFiles   []string
	EmbedFiles []string
}

// listedModule holds the fields of a package's module in the output of go list.
type listedModule struct{ Main bool }

// computeDigest returns the digest of the daemons' sources in a commit of the repository at root, or in its work tree if commit is empty.
func computeDigest(root, commit string) (string, error) {
	if commit == "" {
		return computeTreeDigest(root)
	}
	folder, err := os.MkdirTemp("", "hunted")
	if err != nil {
		return "", errors.Annotate(err, "creating a folder for the commit's files")
	}
	defer os.RemoveAll(folder)
	if err := extract(root, commit, folder); err != nil {
		return "", err
	}
	return computeTreeDigest(folder)
}

// extract writes the files of a commit to a folder, without the journal.
func extract(root, commit, folder string) error {
	archive, err := exec.Command("git", "-C", root, "archive", "--format=tar", commit, ":!journal").Output()
	if err != nil {
		return errors.Annotatef(err, "reading the files of commit %s", commit)
	}
	unpack := exec.Command("tar", "-C", folder, "-xf", "-")
	unpack.Stdin = bytes.NewReader(archive)
	return errors.Annotatef(unpack.Run(), "unpacking commit %s", commit)
}

// computeTreeDigest returns the digest of the daemons' sources in a folder. It covers the names and the contents of all files.
func computeTreeDigest(root string) (string, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return "", errors.Annotatef(err, "folder %s", root)
	}
	files, err := daemonFiles(root)
	if err != nil {
		return "", err
	}
	hash := sha256.New()
	for _, name := range files {
		content, err := os.ReadFile(filepath.Join(root, name))
		if err != nil {
			return "", errors.Annotate(err, "reading a file for the digest")
		}
		fileSum := sha256.Sum256(content)
		io.WriteString(hash, name+"\x00"+hex.EncodeToString(fileSum[:])+"\n")
	}
	return hex.EncodeToString(hash.Sum(nil))[:digestLength], nil
}

// daemonFiles returns the files from which the program is built and deployed, as sorted paths relative to root.
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
