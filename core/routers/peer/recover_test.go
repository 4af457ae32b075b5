package peer_test

import (
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"medlarpond.dev/core/modules/peer"
	peerrouter "medlarpond.dev/core/routers/peer"
	"medlarpond.dev/core/services/neighbor"
	"medlarpond.dev/core/services/placement"
)

// TestPanicEndsOneCall checks that a method which panics does not end the process: its caller gets an error, and the next
// call is served.
func TestPanicEndsOneCall(t *testing.T) {
	calls := 0
	s := peer.NewServer()
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	address := l.Addr().String()
	if err := peerrouter.RegisterLoads(s, func(string, placement.LoadUpdate) {
		if calls++; calls == 1 {
			panic("malformed update")
		}
	}); err != nil {
		t.Fatal(err)
	}
	pool := peer.NewPool()
	t.Cleanup(pool.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	send := peerrouter.SendLoads(pool)
	if err := send(ctx, address, neighbor.Message{From: "a"}); err == nil || !strings.Contains(err.Error(), "malformed update") {
		t.Errorf("got error %v, want that of the panic", err)
	}
	if err := send(ctx, address, neighbor.Message{From: "a"}); err != nil {
		t.Errorf("call after the panic: %v", err)
	}
}

// TestEveryMethodRecovers checks that all methods that net/rpc can call begin with the recover.
func TestEveryMethodRecovers(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	methods := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			f, ok := declaration.(*ast.FuncDecl)
			if !ok || f.Recv == nil || !f.Name.IsExported() || f.Type.Params.NumFields() != 2 {
				continue
			}
			if pointer, ok := f.Type.Params.List[1].Type.(*ast.StarExpr); !ok || !strings.HasSuffix(pointer.X.(*ast.Ident).Name, "Reply") {
				continue
			}
			methods++
			deferred, ok := f.Body.List[0].(*ast.DeferStmt)
			if !ok || deferred.Call.Fun.(*ast.SelectorExpr).Sel.Name != "Recover" {
				t.Errorf("%s: method %s does not begin with defer peer.Recover(&err)", name, f.Name.Name)
			}
		}
	}
	if methods < 11 {
		t.Errorf("got %d methods, want at least 11", methods)
	}
}
