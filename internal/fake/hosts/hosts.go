package hosts

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"

	"bramleysail.example/bramleysail/internal/plat/hosts"
)

// List is an in-memory host list. Its zero value is empty and ready to serve HTTP.
type List struct {
	mu     sync.Mutex // guards byAddr
	byAddr map[string]hosts.Host
}

// Set adds a host, or replaces the one with the same address.
func (l *List) Set(h hosts.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byAddr == nil {
		l.byAddr = map[string]hosts.Host{}
	}
	l.byAddr[h.Addr] = h
}

// ServeHTTP answers PUT by adding or replacing one host, and other requests with all hosts as JSON, ordered by address.
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
	all := make([]hosts.Host, 0, len(l.byAddr))
	for _, h := range l.byAddr {
		all = append(all, h)
	}
	l.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].Addr < all[j].Addr })
	_ = json.NewEncoder(w).Encode(all)
}
