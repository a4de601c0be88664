package storage

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// Files is the part of the file system that Open uses. A loss of power may remove a new file or folder until the folder that contains it
// has been synced.
type Files interface {
	// Exists reports whether a file or folder exists at the path.
	Exists(path string) bool
	// MakeFolder creates one folder. The parent must exist.
	MakeFolder(path string) error
	// SyncFolder makes the directory entries of a folder durable.
	SyncFolder(path string) error
	// OpenFile opens or creates a file, like os.OpenFile.
	OpenFile(path string, flag int, mode os.FileMode) (*os.File, error)
	// Size returns the size of a file in bytes, or -1 if the file does not exist.
	Size(path string) (int64, error)
	// Remove deletes a file, like os.Remove.
	Remove(path string) error
}

// osFiles is the file system of the operating system.
type osFiles struct{}

// Exists also returns false if os.Stat fails for a reason other than a missing path.
func (osFiles) Exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// MakeFolder calls os.Mkdir with mode 0755.
func (osFiles) MakeFolder(path string) error { return os.Mkdir(path, 0o755) }

// SyncFolder opens the folder and syncs it. It returns the errors of package os unchanged, so that makeFolders can detect a missing
// permission.
func (osFiles) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// OpenFile calls os.OpenFile.
func (osFiles) OpenFile(path string, flag int, mode os.FileMode) (*os.File, error) {
	return os.OpenFile(path, flag, mode)
}

// Size returns the size that os.Stat reports, or noFile if the file does not exist.
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

// Remove calls os.Remove.
func (osFiles) Remove(path string) error { return os.Remove(path) }

const (
	// noFile is the size that Files.Size returns for a missing file.
	noFile = -1
	// initialPages is the number of pages that bbolt writes into a new file, before the first transaction grows the file.
	initialPages = 4
)

// removeUnusedFile removes a data file without any committed transaction. It recognizes such a file by its size, because the first
// transaction grows the file and syncs it before it writes any page. If power is lost while the file is created, the file may be torn so
// that bbolt can't read it. Removing it is safe, because the store has not answered any write to it.
func removeUnusedFile(files Files, path string) error {
	size, err := files.Size(path)
	if err != nil {
		return errors.Annotatef(err, "reading the size of %s", dataFile)
	}
	if size == noFile || size > initialPages*int64(os.Getpagesize()) {
		return nil
	}
	return errors.Annotatef(files.Remove(path), "removing the unused file %s", dataFile)
}

// makeFolders creates a folder and its missing parents, the uppermost first, and syncs the parent of each. It also syncs the parent of the
// lowest folder that existed already, because an earlier process may have created that folder and ended before the sync.
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
			return errors.Annotate(err, "creating the data directory")
		}
	}
	err := files.SyncFolder(parent)
	if exists && os.IsPermission(err) {
		// A process without permission to read the parent can't have created this folder, so there is nothing to sync.
		return nil
	}
	return errors.Annotatef(err, "syncing %s", parent)
}
