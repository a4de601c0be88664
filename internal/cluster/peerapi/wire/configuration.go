package wire

import "github.com/mailru/easyjson"

//go:generate go run github.com/mailru/easyjson/easyjson -all configuration.go

// ConfigurationCall asks for a configuration that is newer than HeldVersion. A peer that runs an earlier version of this program sets neither
// AcceptsChanges nor AcceptsChunks, and always gets the full configuration.
type ConfigurationCall struct {
	HeldVersion    int64 `json:"held"`
	AcceptsChanges bool  `json:"changes,omitempty"`
	// AcceptsChunks allows the answer to be a chunk of a compressed image. To continue a transfer, Image is the name of the image, and Offset
	// the number of bytes already received.
	AcceptsChunks bool   `json:"chunks,omitempty"`
	Image         string `json:"image,omitempty"`
	Offset        int    `json:"offset,omitempty"`
}

// ConfigurationAnswer holds the full configuration, a chunk of its image, or in Changes the deltas from the held version to it. It holds none of them
// if the peer has nothing newer.
type ConfigurationAnswer struct {
	Full    *Configuration        `json:"fact,omitempty"`
	Changes []*ConfigurationDelta `json:"changes,omitempty"`
	Chunk   *ConfigurationChunk   `json:"chunk,omitempty"`
	// Busy is set if the peer is already answering too many others. The caller should ask another peer.
	Busy bool `json:"busy,omitempty"`
}

// ConfigurationChunk is a part of an image, which is the full configuration of one version in compressed form.
type ConfigurationChunk struct {
	Version int64 `json:"version"`
	// Image is the SHA-256 of the whole image in hexadecimal.
	Image string `json:"image"`
	// Size of the image and Offset of the chunk are in bytes.
	Size   int    `json:"size"`
	Offset int    `json:"offset,omitempty"`
	Data   []byte `json:"data"`
}

// ConfigurationDelta turns the configuration of version Base into that of Version. Digest is the digest of the result.
type ConfigurationDelta struct {
	Base          int64           `json:"base"`
	Version       int64           `json:"version"`
	Digest        string          `json:"digest"`
	Parts         []DeltaPart     `json:"parts"`
	InitialVoters []InitialVoters `json:"births,omitempty"`
	Moved         []MovedRoute    `json:"moved,omitempty"`
}

// DeltaPart is either Count segments of the base from segment From on, or new text.
type DeltaPart struct {
	From  int    `json:"f,omitempty"`
	Count int    `json:"c,omitempty"`
	Text  string `json:"t,omitempty"`
}

// Configuration is a committed configuration as it is stored and, without Confirmed and Forgotten, sent to peers. Body is the text of the
// operator, and InitialVoters are the first voters of the pools of its services and of other keys.
type Configuration struct {
	Version       int64               `json:"version"`
	Body          easyjson.RawMessage `json:"body"`
	InitialVoters []InitialVoters     `json:"births,omitempty"`
	// Confirmed lists the last confirmed versions as an earlier version of this program stored them. Now each has a record of its own.
	Confirmed []ConfirmedVersion `json:"taken,omitempty"`
	// Forgotten is the newest confirmed version whose record was deleted.
	Forgotten int64        `json:"forgotten,omitempty"`
	Moved     []MovedRoute `json:"moved,omitempty"`
}

// MovedRoute names the services that a route led to previously, or that the routes led to which had its address before. The pools of these
// services may hold jobs of the route.
type MovedRoute struct {
	Route    string   `json:"entry"`
	Services []string `json:"services"`
	// Names are the names that the routes at the route's address had before. Jobs keep the name of the route at which they were submitted.
	Names []string `json:"names,omitempty"`
	// LeftAddress is the address that the route had last before it was removed or got another one: its host name and path prefix. It is empty
	// if the route has had only one address and was never removed.
	LeftAddress string `json:"left-address,omitempty"`
}

// InitialVoters are the disks that are the first voters of a service's pool, or of Key.
type InitialVoters struct {
	Service string   `json:"service"`
	Voters  []string `json:"voters"`
	// Key is empty for the pool of the service.
	Key string `json:"key,omitempty"`
}

// ConfirmedVersion identifies the body that was confirmed under a version. Digest is the SHA-256 of the body in hexadecimal, or only its
// first eight bytes in a record of an earlier version of this program.
type ConfirmedVersion struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
}
