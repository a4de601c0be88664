package storage

import "gannetline/internal/siblingwire"

// Head is what a replica knows of a key besides its pairs.
type Head struct {
	Promised uint64               `json:"promised"`
	Last     siblingwire.Stamp    `json:"last"`
	Set      siblingwire.VoterSet `json:"set"`
}
