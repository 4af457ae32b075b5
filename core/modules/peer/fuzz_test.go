package peer_test

import (
	"bytes"
	"encoding/gob"
	"net"
	"net/rpc"
	"testing"

	"medlarpond.dev/core/modules/peer"
)

// Echo is the RPC receiver of the tests.
type Echo struct{}

// Message is the argument and the reply of Echo.Say.
type Message struct {
	Text  string
	Items map[string][]int
}

// Say replies with its argument.
func (Echo) Say(m Message, reply *Message) error {
	*reply = m
	return nil
}

// FuzzServer sends arbitrary bytes to a server and checks that it still serves the next connection.
func FuzzServer(f *testing.F) {
	var call bytes.Buffer
	e := gob.NewEncoder(&call)
	_ = e.Encode(&rpc.Request{ServiceMethod: "Echo.Say", Seq: 1})
	_ = e.Encode(Message{Text: "a", Items: map[string][]int{"x": {1}}})
	f.Add(call.Bytes())
	f.Add(call.Bytes()[:call.Len()/2])
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	s := peer.NewServer()
	if err := s.Register("Echo", Echo{}); err != nil {
		f.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	f.Cleanup(func() { _ = l.Close() })
	f.Fuzz(func(t *testing.T, content []byte) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(content)
		_ = c.Close()
		client := peer.NewClient(l.Addr().String())
		defer client.Close()
		reply, err := peer.Call[Message, Message](t.Context(), client, "Echo.Say", Message{Text: "still here"})
		if err != nil || reply.Text != "still here" {
			t.Fatalf("next call: got %+v, %v; want the text that was sent", reply, err)
		}
	})
}
