package storage

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// Files is what Open needs of the file system. A file or folder that was made may be lost with the power until the
// folder that it lies in has been synced.
type Files interface {
	// Exists tells whether there is a file or folder of that path.
	Exists(path string) bool
	// MakeFolder makes one folder; its parent must exist.
	MakeFolder(path string) error
	// SyncFolder makes the names in a folder durable.
	SyncFolder(path string) error
	// OpenFile is os.OpenFile.
	OpenFile(path string, flag int, mode os.FileMode) (*os.File, error)
	// Size is that of a file in bytes, or below zero if there is no such file.
	Size(path string) (int64, error)
	// Remove is os.Remove.
	Remove(path string) error
}

type osFiles struct{}

// Exists is false also if the path can't be looked up.
func (osFiles) Exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// MakeFolder is os.Mkdir with mode 0755.
func (osFiles) MakeFolder(path string) error { return os.Mkdir(path, 0o755) }

// SyncFolder opens the folder and syncs it. The errors are those of os, so that makeFolders can tell a lack of permission.
func (osFiles) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// OpenFile is os.OpenFile.
func (osFiles) OpenFile(path string, flag int, mode os.FileMode) (*os.File, error) {
	return os.OpenFile(path, flag, mode)
}

// Size looks the path up.
func (osFiles) Size(path string) (int64, error) {
	info, err := os.Stat(path)
	switch {
	case os.IsNotExist(err):
		return noFile, nil
	case err != nil:
		return noFile, err
	}
	return info.Size(), nil
}

// Remove is os.Remove.
func (osFiles) Remove(path string) error { return os.Remove(path) }

const (
	// noFile is the size of a file that isn't there.
	noFile = -1
	// initialPages are the pages that bbolt writes into a new file, before the first transaction makes the file larger.
	initialPages = 4
)

// discardUnused removes a data file that no transaction was ever committed to: a first transaction makes the file larger, with a sync,
// before it writes anything. Such a file may be the torn remains of a first opening that ended with a loss of power, which bbolt
// can't read; nothing was ever answered from it.
func discardUnused(files Files, path string) error {
	size, err := files.Size(path)
	if err != nil {
		return errors.Annotatef(err, "looking at %s", dataFile)
	}
	if size == noFile || size > initialPages*int64(os.Getpagesize()) {
		return nil
	}
	return errors.Annotatef(files.Remove(path), "removing an unused %s", dataFile)
}

// makeFolders makes a folder and its missing parents, the uppermost first, and syncs what holds each of them. What
// holds the lowest one that was there is synced as well: an earlier process may have made it and ended before the sync.
func makeFolders(files Files, folder string) error {
	parent := filepath.Dir(folder)
	exists := files.Exists(folder)
	if !exists && parent != folder {
		if err := makeFolders(files, parent); err != nil {
			return err
		}
	}
	if !exists {
		if err := files.MakeFolder(folder); err != nil && !os.IsExist(err) {
			return errors.Annotate(err, "making the data directory")
		}
	}
	err := files.SyncFolder(parent)
	if exists && os.IsPermission(err) {
		// Who may not even read the parent has not made this folder.
		return nil
	}
	return errors.Annotatef(err, "syncing %s", parent)
}
