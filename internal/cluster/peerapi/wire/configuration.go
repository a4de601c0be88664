package wire

import "github.com/mailru/easyjson"

//go:generate go run github.com/mailru/easyjson/easyjson -all configuration.go

// ConfigurationCall asks for what is newer than HeldVersion; a peer of an earlier version is always given all of it.
type ConfigurationCall struct {
	HeldVersion    int64 `json:"held"`
	AcceptsChanges bool  `json:"changes,omitempty"`
	// AcceptsChunks lets a configuration come as a compressed image in chunks; Image and Offset name where to go on.
	AcceptsChunks bool   `json:"chunks,omitempty"`
	Image         string `json:"image,omitempty"`
	Offset        int    `json:"offset,omitempty"`
}

// ConfigurationAnswer holds the configuration in full, a chunk of its image, or the changes that lead to it from the
// version that is held; none of them if the peer holds nothing newer.
type ConfigurationAnswer struct {
	Full    *Configuration        `json:"fact,omitempty"`
	Changes []*ConfigurationDelta `json:"changes,omitempty"`
	Chunk   *ConfigurationChunk   `json:"chunk,omitempty"`
	// Busy says that too many peers are being answered; another one should be asked.
	Busy bool `json:"busy,omitempty"`
}

// ConfigurationChunk is a part of an image: the compressed form of one version in full.
type ConfigurationChunk struct {
	Version int64 `json:"version"`
	// Image is the sha256 of the whole image, in hexadecimal.
	Image string `json:"image"`
	// Size of the image and Offset of the chunk are in bytes.
	Size   int    `json:"size"`
	Offset int    `json:"offset,omitempty"`
	Data   []byte `json:"data"`
}

// ConfigurationDelta makes the configuration of one version out of that of another; Digest is that of the result.
type ConfigurationDelta struct {
	Base          int64           `json:"base"`
	Version       int64           `json:"version"`
	Digest        string          `json:"digest"`
	Parts         []DeltaPart     `json:"parts"`
	InitialVoters []InitialVoters `json:"births,omitempty"`
	Moved         []MovedRoute    `json:"moved,omitempty"`
}

// DeltaPart is a run of the base's segments, or text.
type DeltaPart struct {
	From  int    `json:"f,omitempty"`
	Count int    `json:"c,omitempty"`
	Text  string `json:"t,omitempty"`
}

// Configuration is a committed configuration as it is stored and passed on: the operator's text, and the first voters of the
// pools of its services.
type Configuration struct {
	Version       int64               `json:"version"`
	Body          easyjson.RawMessage `json:"body"`
	InitialVoters []InitialVoters     `json:"births,omitempty"`
	// Confirmed are the last confirmed versions as an earlier version keeps them on disk; each has a record of its own now.
	Confirmed []ConfirmedVersion `json:"taken,omitempty"`
	// Forgotten is the newest confirmed version whose record was dropped.
	Forgotten int64        `json:"forgotten,omitempty"`
	Moved     []MovedRoute `json:"moved,omitempty"`
}

// MovedRoute names the services that a route led to before.
type MovedRoute struct {
	Route    string   `json:"entry"`
	Services []string `json:"services"`
}

// InitialVoters are the disks that a service's pool starts with, or the key that is named.
type InitialVoters struct {
	Service string   `json:"service"`
	Voters  []string `json:"voters"`
	// Key is empty for the pool of the service.
	Key string `json:"key,omitempty"`
}

// ConfirmedVersion says which body was confirmed under a version: Digest is its sha256 in hexadecimal, or from an
// earlier version the first eight bytes of it.
type ConfirmedVersion struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
}
