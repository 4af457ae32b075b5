// Package peer answers the calls of other instances and makes them.
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
	// imageChunkBytes bounds a chunk of an image in one answer.
	imageChunkBytes = 256 << 10
)

// Exchange answers the questions by which instances keep each other up to date.
type Exchange struct {
	answer func(membership.Message) membership.Message
	state  *configuration.State

	mu sync.Mutex
	// image is the last image that was asked for.
	image configuration.Image
}

// NewExchange returns the receiver of the calls.
func NewExchange(answer func(membership.Message) membership.Message, state *configuration.State) *Exchange {
	return &Exchange{answer: answer, state: state}
}

// ExchangeRequest is a question.
type ExchangeRequest struct {
	Message membership.Message
}

// ExchangeReply is the answer to a question.
type ExchangeReply struct {
	Message membership.Message
}

// ImageRequest asks for a chunk of the whole configuration.
type ImageRequest struct {
	// Revision is zero in the first question and that of the first answer afterwards.
	Revision uint64
	Chunk    int
}

// ImageReply is a chunk of the whole configuration.
type ImageReply struct {
	Revision uint64
	Chain    string
	Chunks   int
	Chunk    []byte
}

// ErrImageGone is returned when the image of a revision is no longer held.
type ErrImageGone struct {
	Revision uint64
}

// Error implements error.
func (e *ErrImageGone) Error() string {
	return fmt.Sprintf("the image of revision %d is no longer held; ask from the start", e.Revision)
}

// Exchange takes in a peer's message and answers it.
func (e *Exchange) Exchange(q ExchangeRequest, a *ExchangeReply) error {
	a.Message = e.answer(q.Message)
	return nil
}

// Image answers with a chunk of the whole configuration.
func (e *Exchange) Image(q ImageRequest, a *ImageReply) error {
	image, err := e.imageOf(q.Revision)
	if err != nil {
		return err
	}
	*a = ImageReply{Revision: image.Revision, Chain: string(image.Chain), Chunks: len(image.Chunks)}
	if q.Chunk >= 0 && q.Chunk < len(image.Chunks) {
		a.Chunk = image.Chunks[q.Chunk]
	}
	return nil
}

func (e *Exchange) imageOf(revision uint64) (configuration.Image, error) {
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

// CallExchange returns the function that sends messages to peers.
func CallExchange(pool *peer.Pool) membership.Call {
	return func(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
		reply, err := peer.Call[ExchangeRequest, ExchangeReply](
			ctx, pool.Get(address), ExchangeService+".Exchange", ExchangeRequest{Message: m})
		return reply.Message, err
	}
}

// FetchImage asks the peer with an address for its whole configuration.
func FetchImage(ctx context.Context, pool *peer.Pool, address string) (configuration.Image, error) {
	var image configuration.Image
	for n := 0; ; n++ {
		reply, err := peer.Call[ImageRequest, ImageReply](
			ctx, pool.Get(address), ExchangeService+".Image", ImageRequest{Revision: image.Revision, Chunk: n})
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
