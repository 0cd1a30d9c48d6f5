package tool_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bramleysail.example/bramleysail/internal/proc/tool"
)

// TestModelBadInput checks that invalid flags of the model command give exit code 2 and an error that
// names the fault, and that nothing is printed or plotted.
func TestModelBadInput(t *testing.T) {
	for _, tt := range []struct {
		name string
		args []string
		want string
	}{
		{"unknown scenario", []string{"--day", "x"}, `no day "x"`},
		{"unknown fault", []string{"--fault", "slow", "--fault", "fire"}, `no fault "fire"`},
		{"unknown policy", []string{"--policy", "best"}, `no policy "best"`},
		{"load is not a number", []string{"--load", "NaN"}, "load NaN"},
		{"plot of a single load", []string{"--seeds", "1", "--policy", "ideal"}, "two loads"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "plot.svg")
			var out, errOut bytes.Buffer
			args := append([]string{"bramleysail", "model", "--plot", file}, tt.args...)
			if code := tool.Run(t.Context(), args, &out, &errOut); code != tool.ExitInvalid {
				t.Errorf("exit code %d, want %d", code, tool.ExitInvalid)
			}
			if !strings.Contains(errOut.String(), tt.want) {
				t.Errorf("error %q, want it to contain %q", &errOut, tt.want)
			}
			if _, err := os.Stat(file); out.Len() > 0 || !os.IsNotExist(err) {
				t.Errorf("output %q, stat of the plot file: %v; want no output and no file", &out, err)
			}
		})
	}
}
