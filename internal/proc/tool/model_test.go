package tool_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bramleysail.example/bramleysail/internal/proc/tool"
)

func TestModelBadInput(t *testing.T) {
	for _, tt := range []struct {
		name string
		args []string
		want string
	}{
		{"no such day", []string{"--day", "x"}, `no day "x"`},
		{"no such fault", []string{"--fault", "slow", "--fault", "fire"}, `no fault "fire"`},
		{"no such policy", []string{"--policy", "best"}, `no policy "best"`},
		{"load that is no number", []string{"--load", "NaN"}, "load NaN"},
		{"plot of one load", []string{"--seeds", "1", "--policy", "ideal"}, "two loads"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "plot.svg")
			var out, errOut bytes.Buffer
			args := append([]string{"bramleysail", "model", "--plot", file}, tt.args...)
			if code := tool.Run(t.Context(), args, &out, &errOut); code != tool.ExitInvalid {
				t.Errorf("exit code %d, want %d", code, tool.ExitInvalid)
			}
			if !strings.Contains(errOut.String(), tt.want) {
				t.Errorf("error %q, want one with %q", &errOut, tt.want)
			}
			if _, err := os.Stat(file); out.Len() > 0 || !os.IsNotExist(err) {
				t.Errorf("%q written, plot: %v", &out, err)
			}
		})
	}
}
