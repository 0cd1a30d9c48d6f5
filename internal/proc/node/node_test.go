package node

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
	fakehosts "bramleysail.example/bramleysail/internal/fake/hosts"
	fakestore "bramleysail.example/bramleysail/internal/fake/store"
)

const sheetText = `base = 0
[[zone]]
name = "heredia"
[[job]]
name = "audit"
zones = ["heredia"]
`

// sendJSON sends a request with a JSON body and returns the status and body of the response.
func sendJSON(t *testing.T, method, url string, body any) (int, string) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// TestSubmitJobAfterPutSheet covers an operator who puts a sheet through a process and submits a
// job of a kind that it declares through the same process, before the store's watch reports the
// sheet. The process must accept the job kind.
func TestSubmitJobAfterPutSheet(t *testing.T) {
	fake := new(fakestore.Store).Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/kv/config" && r.URL.Query().Has("recurse") {
			<-r.Context().Done() // no watch ever reports a configuration
			return
		}
		fake.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	list := httptest.NewServer(&fakehosts.List{})
	t.Cleanup(list.Close)
	s := conf.Default()
	s.Name, s.Zone = "e0", "heredia"
	s.Listen = conf.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Store.URL, s.Hosts.URL = srv.URL, list.URL
	n, err := Start(s, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Abort)
	admin := "http://" + n.AdminAddr()
	if status, text := sendJSON(t, http.MethodPut, admin+"/v1/sheet", map[string]string{"text": sheetText}); status != http.StatusOK {
		t.Fatalf("PUT /v1/sheet: status %d, body %s", status, text)
	}
	job := jobs.Spec{ID: "audit-1", Kind: "audit", N: 1, Size: wire.Size{CPU: 1000, Mem: 1000}, Run: time.Second}
	if status, text := sendJSON(t, http.MethodPost, admin+"/v1/jobs", job); status == http.StatusBadRequest {
		t.Errorf("POST /v1/jobs: status %d, body %s", status, text)
	}
}
