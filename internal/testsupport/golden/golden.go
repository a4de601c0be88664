// Package golden compares the encoding of messages and records with golden files. With it, tests detect a renamed or moved field that changes
// the data sent to other processes or stored on disk. Only tests use it.
//
// The golden files are written if the environment variable GANNETLINE_UPDATE_GOLDEN is set. Use it only for a new message or a new field,
// never after the change of an encoded name.
package golden

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
)

// UpdateVariable is an environment variable. If it is set, golden files are written instead of compared.
const UpdateVariable = "GANNETLINE_UPDATE_GOLDEN"

// messageFolder is the folder with the golden files of messages, relative to the folder of each package.
const messageFolder = "testdata/messages"

// Message is a pointer to a value with generated JSON code.
type Message interface {
	easyjson.Marshaler
	easyjson.Unmarshaler
}

// MismatchError reports that an encoded text differs from the golden file at Path. Want is the content of the file.
type MismatchError struct {
	Path      string
	Want, Got string
}

// Error returns a message with both texts.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("golden file %s holds\n%s\nbut the code encodes\n%s", e.Path, e.Want, e.Got)
}

// CheckMessage creates a message of the same type as empty, sets all its fields, and compares its encoding with the golden file of that name in
// the package's messageFolder. Then it decodes the golden file, encodes the result and compares that with the file too. The error is a
// *MismatchError, or names the file or message that can't be read, decoded or encoded.
func CheckMessage(name string, empty Message) error {
	path := filepath.Join(messageFolder, name+".json")
	messageType := reflect.TypeOf(empty).Elem()
	filled := reflect.New(messageType)
	fill(filled.Elem(), &sequence{})
	encoded, err := easyjson.Marshal(filled.Interface().(Message))
	if err != nil {
		return errors.Annotatef(err, "encoding %s", messageType)
	}
	if err := CheckText(path, string(encoded)); err != nil {
		return err
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "reading a golden file")
	}
	decoded := reflect.New(messageType).Interface().(Message)
	if err := easyjson.Unmarshal(stored, decoded); err != nil {
		return errors.Annotatef(err, "decoding %s", path)
	}
	again, err := easyjson.Marshal(decoded)
	if err != nil {
		return errors.Annotatef(err, "encoding %s after decoding", messageType)
	}
	return CheckText(path, string(again))
}

// CheckText compares a text with a golden file. The error is a *MismatchError, or says that the file can't be read.
func CheckText(path, text string) error {
	if os.Getenv(UpdateVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return errors.Annotate(err, "creating the folder of golden files")
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
