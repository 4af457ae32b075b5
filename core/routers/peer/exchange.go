// Package peer implements the RPC calls between instances, both the receivers and the callers. The names of services,
// methods and fields are part of the protocol between instances and must not change.
package peer

import (
	"context"
	"fmt"
	"sync"

	"medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/core/services/membership"
)

const (
	// ExchangeService is the name under which Exchange is registered.
	ExchangeService = "exchange"
	// imageChunkBytes is the maximum size of a chunk of an image, of which each reply contains one.
	imageChunkBytes = 256 << 10
)

// Exchange serves the calls by which instances synchronize with each other. Its exported methods are called by net/rpc.
type Exchange struct {
	handleMessage func(membership.Message) membership.Message
	state         *configuration.State

	mu sync.Mutex
	// image is the most recently requested image.
	image configuration.Image
}

// NewExchange returns an Exchange. handleMessage handles the message of a peer and returns the response.
func NewExchange(handleMessage func(membership.Message) membership.Message, state *configuration.State) *Exchange {
	return &Exchange{handleMessage: handleMessage, state: state}
}

// ExchangeArgs holds the arguments of Exchange.Exchange.
type ExchangeArgs struct {
	Message membership.Message
}

// ExchangeReply is the reply of Exchange.Exchange.
type ExchangeReply struct {
	Message membership.Message
}

// ImageArgs holds the arguments of Exchange.Image, which returns one chunk of an image of the configuration.
type ImageArgs struct {
	// Revision is zero in the first request and the revision of the first reply in the following ones.
	Revision uint64
	Chunk    int
}

// ImageReply is the reply of Exchange.Image: one chunk of an image.
type ImageReply struct {
	Revision uint64
	Chain    string
	Chunks   int
	Chunk    []byte
}

// ErrImageGone is returned if the image of the requested revision is no longer available.
type ErrImageGone struct {
	Revision uint64
}

// Error implements error.
func (e *ErrImageGone) Error() string {
	return fmt.Sprintf("the image of revision %d is no longer held; ask from the start", e.Revision)
}

// Exchange handles a message from a peer.
func (e *Exchange) Exchange(args ExchangeArgs, reply *ExchangeReply) (err error) {
	defer peer.Recover(&err)
	reply.Message = e.handleMessage(args.Message)
	return nil
}

// Image returns a chunk of an image of the configuration.
func (e *Exchange) Image(args ImageArgs, reply *ImageReply) (err error) {
	defer peer.Recover(&err)
	image, err := e.imageAt(args.Revision)
	if err != nil {
		return err
	}
	*reply = ImageReply{Revision: image.Revision, Chain: string(image.Chain), Chunks: len(image.Chunks)}
	if args.Chunk >= 0 && args.Chunk < len(image.Chunks) {
		reply.Chunk = image.Chunks[args.Chunk]
	}
	return nil
}

// imageAt returns the image of a revision, or of the current revision if it is zero.
func (e *Exchange) imageAt(revision uint64) (configuration.Image, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision != 0 && revision != e.image.Revision {
		return configuration.Image{}, &ErrImageGone{Revision: revision}
	}
	v := e.state.View()
	if revision == 0 && v.Revision != e.image.Revision {
		image, err := configuration.NewImage(v, imageChunkBytes)
		if err != nil {
			return configuration.Image{}, err
		}
		e.image = image
	}
	return e.image, nil
}

// CallExchange returns a function that sends a message to the peer with the given address.
func CallExchange(pool *peer.Pool) membership.Call {
	return func(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
		reply, err := peer.Call[ExchangeArgs, ExchangeReply](
			ctx, pool.Get(address), ExchangeService+".Exchange", ExchangeArgs{Message: m})
		return reply.Message, err
	}
}

// FetchImage fetches an image of the configuration, chunk by chunk, from the peer with the given address.
func FetchImage(ctx context.Context, pool *peer.Pool, address string) (configuration.Image, error) {
	var image configuration.Image
	for n := 0; ; n++ {
		reply, err := peer.Call[ImageArgs, ImageReply](
			ctx, pool.Get(address), ExchangeService+".Image", ImageArgs{Revision: image.Revision, Chunk: n})
		if err != nil {
			return configuration.Image{}, err
		}
		image.Revision, image.Chain = reply.Revision, configuration.ChainHash(reply.Chain)
		if n < reply.Chunks {
			image.Chunks = append(image.Chunks, reply.Chunk)
		}
		if n+1 >= reply.Chunks {
			return image, nil
		}
	}
}
