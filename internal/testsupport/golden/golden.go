// Package golden compares the bytes that messages and records are encoded to with golden files, so that a renamed or moved
// field can't change what is sent to other processes or kept on disk. It is used by tests only.
//
// A golden file is written when the environment variable GANNETLINE_UPDATE_GOLDEN is set; that is right for a new message,
// and for a field that was added to one, and never for a name that was changed.
package golden

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
)

// UpdateVariable is the environment variable with which golden files are written in place of being compared.
const UpdateVariable = "GANNETLINE_UPDATE_GOLDEN"

// messageFolder holds the golden files of messages in the folder of each package.
const messageFolder = "testdata/messages"

// Message is a pointer to a value with generated JSON code.
type Message interface {
	easyjson.Marshaler
	easyjson.Unmarshaler
}

// MismatchError tells how encoded bytes differ from the golden file at Path.
type MismatchError struct {
	Path      string
	Want, Got string
}

// Error shows both texts.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("%s holds\n%s\nbut the sources make\n%s", e.Path, e.Want, e.Got)
}

// CheckMessage fills every field of an empty message, and compares its encoding with the golden file of that name in the
// package's messageFolder; then it decodes
// the golden file and compares the encoding of that. The error is a *MismatchError, or says what can't be read.
func CheckMessage(name string, empty Message) error {
	path := filepath.Join(messageFolder, name+".json")
	kind := reflect.TypeOf(empty).Elem()
	filled := reflect.New(kind)
	fill(filled.Elem(), &sequence{})
	encoded, err := easyjson.Marshal(filled.Interface().(Message))
	if err != nil {
		return errors.Annotatef(err, "encoding %s", kind)
	}
	if err := CheckText(path, string(encoded)); err != nil {
		return err
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "reading a golden file")
	}
	decoded := reflect.New(kind).Interface().(Message)
	if err := easyjson.Unmarshal(stored, decoded); err != nil {
		return errors.Annotatef(err, "decoding %s", path)
	}
	again, err := easyjson.Marshal(decoded)
	if err != nil {
		return errors.Annotatef(err, "encoding %s again", kind)
	}
	return CheckText(path, string(again))
}

// CheckText compares a text with the golden file; the error is a *MismatchError, or says that there is no such file.
func CheckText(path, text string) error {
	if os.Getenv(UpdateVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return errors.Annotate(err, "making the folder of golden files")
		}
		return errors.Annotate(os.WriteFile(path, []byte(text), 0o644), "writing a golden file")
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "reading a golden file")
	}
	if string(stored) != text {
		return &MismatchError{Path: path, Want: string(stored), Got: text}
	}
	return nil
}
