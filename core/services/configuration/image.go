package configuration

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"medlarpond.dev/core/models/resource"
)

// Image is the complete configuration at one revision, encoded in chunks, from which a starting instance is
// initialized.
type Image struct {
	Revision uint64
	Chain    ChainHash
	// Chunks are JSON arrays of resources.
	Chunks [][]byte
}

// NewImage encodes a view in chunks of about chunkBytes; a chunk with a single resource may exceed it.
func NewImage(v *View, chunkBytes int) (Image, error) {
	image := Image{Revision: v.Revision, Chain: v.Chain}
	var list []json.RawMessage
	size := 0
	flush := func() error {
		chunk, err := json.Marshal(list)
		image.Chunks = append(image.Chunks, chunk)
		list, size = nil, 0
		return err
	}
	for _, r := range v.Snapshot.All() {
		raw, err := json.Marshal(r)
		if err != nil {
			return Image{}, trace.Wrap(err)
		}
		if size+len(raw) > chunkBytes && len(list) > 0 {
			if err := flush(); err != nil {
				return Image{}, trace.Wrap(err)
			}
		}
		list = append(list, raw)
		size += len(raw) + 1
	}
	if len(list) > 0 {
		return image, trace.Wrap(flush())
	}
	return image, nil
}

// View decodes the image.
func (i Image) View() (*View, error) {
	var all []resource.Resource
	for _, chunk := range i.Chunks {
		var list []resource.Resource
		if err := json.Unmarshal(chunk, &list); err != nil {
			return nil, trace.Wrap(err, "decoding an image of the configuration")
		}
		all = append(all, list...)
	}
	return &View{Snapshot: resource.NewSnapshotOf(all), Revision: i.Revision, Chain: i.Chain}, nil
}
