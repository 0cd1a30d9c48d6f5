package hosts

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"

	"bramleysail.example/bramleysail/internal/plat/hosts"
)

// List is the stand-in; its zero value is an empty list ready to serve HTTP.
type List struct {
	mu     sync.Mutex
	byAddr map[string]hosts.Host
}

// Set adds the host or changes its row.
func (l *List) Set(h hosts.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byAddr == nil {
		l.byAddr = map[string]hosts.Host{}
	}
	l.byAddr[h.Addr] = h
}

// ServeHTTP answers GET with the list and takes a changed row by PUT.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var h hosts.Host
		if err := json.NewDecoder(r.Body).Decode(&h); err != nil || h.Addr == "" {
			http.Error(w, "a host needs addr, kind, zone, state", http.StatusBadRequest)
			return
		}
		l.Set(h)
		return
	}
	l.mu.Lock()
	rows := make([]hosts.Host, 0, len(l.byAddr))
	for _, h := range l.byAddr {
		rows = append(rows, h)
	}
	l.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Addr < rows[j].Addr })
	_ = json.NewEncoder(w).Encode(rows)
}
