package storage

import "gannetline/internal/peerapi"

// Head is what a replica knows of a key besides its pairs.
type Head struct {
	Promised uint64           `json:"promised"`
	Last     peerapi.Stamp    `json:"last"`
	Set      peerapi.VoterSet `json:"set"`
}
