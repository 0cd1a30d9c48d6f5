package whole

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Calls of the administration API that are invalid or unauthorized must get a stable error code and
// change nothing. The token must appear in no answer and in no log.
func TestAdminErrors(t *testing.T) {
	s := newSystem(t)
	s.adminToken = "sesame-7"
	e := s.addEntry()
	call := func(method, path, token, body string) (int, string) {
		req, err := http.NewRequest(method, "http://"+e.adminAddr+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		if token != "" {
			req.Header.Set("Authorization", "Bearer "+token)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(data)
	}
	for _, tc := range []struct {
		method, path, token, body string
		status                    int
		code                      string
	}{
		{"GET", "/v1/status", "", "", 401, "token"},
		{"GET", "/metrics", "wrong", "", 401, "token"},
		{"GET", "/debug/pprof/", "", "", 401, "token"},
		{"PUT", "/v1/sheet", "sesame-7", "{", 400, "invalid"},
		{"PUT", "/v1/sheet", "sesame-7", `{"text":"` + strings.Repeat("x", 1<<20) + `"}`, 400, "invalid"},
		{"PUT", "/v1/sheet", "sesame-7", `{"text":"base = 0"}`, 400, "invalid"},
		{"POST", "/v1/zones/nowhere/out", "sesame-7", "", 404, "unknown-zone"},
		{"POST", "/v1/zones/heredia/sideways", "sesame-7", "", 404, "invalid"},
		{"POST", "/v1/jobs", "sesame-7", `{"id":"x","colour":"red"}`, 400, "invalid"},
		{"POST", "/v1/jobs", "sesame-7", `{"id":"a/b","kind":"audit","n":1}`, 400, "invalid"},
		{"GET", "/v1/jobs/none", "sesame-7", "", 404, "not-found"},
		{"GET", "/v1/status", "sesame-7", "", 200, ""},
	} {
		status, body := call(tc.method, tc.path, tc.token, tc.body)
		if status != tc.status || tc.code != "" && !strings.Contains(body, `"code":"`+tc.code+`"`) {
			t.Errorf("%s %s: %d %.200s", tc.method, tc.path, status, body)
		}
		if strings.Contains(body, s.adminToken) {
			t.Errorf("%s %s reveals the token", tc.method, tc.path)
		}
	}
	if strings.Contains(e.outputText(), s.adminToken) {
		t.Error("the log reveals the token")
	}
	if status, _ := call("GET", "/healthz", "", ""); status != http.StatusOK {
		t.Errorf("health check without a token answered with %d", status)
	}
}

// Callers send requests that are invalid or too large. Each must get an answer with a stable error
// code that says that the request has not run, and none may reach a target.
func TestBadRequests(t *testing.T) {
	s := newRequestSystem(t, 1, 1, 2, 0)
	addr := s.entries[0].callerAddr
	for _, tc := range []struct {
		name, path, header, value, body string
		status                          int
		code                            string
	}{
		{"unknown service", "/nothing/x", "", "", "", 404, "unknown-service"},
		{"no service", "/", "", "", "", 404, "unknown-service"},
		{"invalid timeout", "/registro/x", "Sail-Timeout", "soon", "", 400, "bad-request"},
		{"negative timeout", "/registro/x", "Sail-Timeout", "-1s", "", 400, "bad-request"},
		{"invalid idempotency mark", "/registro/x", "Sail-Idempotent", "perhaps", "", 400, "bad-request"},
		{"key too long", "/registro/x", "Idempotency-Key", strings.Repeat("k", 200), "", 400, "bad-request"},
		{"key with spaces", "/registro/x", "Idempotency-Key", "a b", "", 400, "bad-request"},
		{"body too large", "/registro/x", "", "", strings.Repeat("x", 2<<20), 413, "too-large"},
	} {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+tc.path, strings.NewReader(tc.body))
		if err != nil {
			t.Fatal(err)
		}
		if tc.header != "" {
			req.Header.Set(tc.header, tc.value)
		}
		a := doRequest(req)
		if a.status != tc.status || a.errorCode() != tc.code || a.outcome != "not-run" {
			t.Errorf("%s: %+v", tc.name, a)
		}
	}
	if stats := s.targetCounts(); stats.Total != 0 {
		t.Errorf("a request reached the target: %+v", stats)
	}
}
