package node

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
)

// Guards against a panic of the process, which cuts its requests, as both of its HTTP listeners fail.
func TestBothListenersFail(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	n := &Node{log: log, listenerFailed: make(chan struct{})}
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		n.serveHTTP(&http.Server{}, l)
		if last := lines[len(lines)-1]; !strings.Contains(last, l.Addr().String()) {
			t.Errorf("logged %q, want the address %s", last, l.Addr())
		}
	}
	select {
	case <-n.ListenerFailed():
	default:
		t.Error("ListenerFailed isn't closed")
	}
	if len(lines) != 2 {
		t.Errorf("%d lines logged, want one for each listener", len(lines))
	}
}
