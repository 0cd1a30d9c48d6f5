package tool

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bramleysail.example/bramleysail/internal/ctrl/sheet"
	"bramleysail.example/bramleysail/internal/proc/node"
)

const (
	adminTimeout = 10 * time.Second    // of one call of the administration API
	tokenEnv     = "BRAMLEYSAIL_TOKEN" // environment variable that holds the administration token
)

// adminFlags returns a command's own flags followed by those of every command that calls the
// administration API.
func adminFlags(more ...cli.Flag) []cli.Flag {
	return append(more,
		&cli.StringFlag{Name: "admin", Value: "127.0.0.1:8082", Usage: "administration `ADDRESS` of any entry process"},
		&cli.StringFlag{Name: "token", Sources: cli.EnvVars(tokenEnv), Usage: "administration token"},
		&cli.StringFlag{Name: "output", Value: "table", Usage: "table or json"},
	)
}

// callAdmin calls the administration API once and returns the decoded answer.
func callAdmin[Out any](ctx context.Context, c *cli.Command, method, path string, body any) (Out, error) {
	var out Out
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return out, errors.Wrap(err, "bramleysail")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.String("admin")+path, bytes.NewReader(data))
	if err != nil {
		return out, errors.Wrap(err, "bramleysail")
	}
	if t := c.String("token"); t != "" {
		req.Header.Set("Authorization", "Bearer "+t)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, noAnswerError(method, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var p node.Problem
		_ = json.NewDecoder(resp.Body).Decode(&p)
		return out, exitError{errors.Errorf("bramleysail: %s: %s", p.Code, p.Text), problemExitCode(p.Code)}
	}
	return out, errors.Wrap(json.NewDecoder(resp.Body).Decode(&out), "bramleysail")
}

// noAnswerError returns the error for a call without an answer. A change may be in force, unless the
// connection to the process couldn't be opened.
func noAnswerError(method string, err error) error {
	var opErr *net.OpError
	if method == http.MethodGet || errors.As(err, &opErr) && opErr.Op == "dial" {
		return exitError{errors.Wrap(err, "bramleysail: no answer; nothing was changed"), ExitFailed}
	}
	return exitError{errors.Wrap(err, "bramleysail: no answer; the change may be in force, read it back"), ExitOutcomeUnknown}
}

// problemExitCode returns the exit code for an error of the administration API.
func problemExitCode(code node.AdminCode) int {
	switch code {
	case node.AdminInvalid, node.AdminUnknownZone, node.AdminNotFound:
		return ExitInvalid
	case node.AdminConflict, node.AdminUnconfirmedRemoval:
		return ExitConflict
	case node.AdminStoreFailure:
		return ExitOutcomeUnknown
	}
	return ExitFailed
}

// printResult prints v in the format of the flag --output: as JSON, or as the table that the function
// table writes, with tabs between its columns.
func printResult[T any](c *cli.Command, out io.Writer, v T, table func(io.Writer, T)) error {
	switch c.String("output") {
	case "json":
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	case "table":
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		table(w, v)
		return w.Flush()
	}
	return exitError{errors.Errorf("bramleysail: --output: %q is neither table nor json", c.String("output")), ExitInvalid}
}

// configView is the configuration in force as the administration API shows it.
type configView struct {
	Version        uint64            `json:"num"`
	EvacuatedZones map[string]uint64 `json:"out"`  // evacuated zones with the version that evacuated each
	Text           string            `json:"text"` // of the sheet
}

// evacuatedText returns the names of the evacuated zones in order, or none.
func (c configView) evacuatedText() string {
	var zones []string
	for z := range c.EvacuatedZones {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	if len(zones) == 0 {
		return "none"
	}
	return strings.Join(zones, " ")
}

// writeConfigTable writes the rows of a configuration for printResult.
func writeConfigTable(w io.Writer, c configView) {
	fmt.Fprintf(w, "configuration\t%d\nout\t%s\n", c.Version, c.evacuatedText())
}

func sheetCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "sheet",
		Usage: "read or replace the day's sheet",
		Commands: []*cli.Command{
			{
				Name: "show", Usage: "print the sheet in force", Flags: adminFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					v, err := callAdmin[configView](ctx, c, http.MethodGet, "/v1/sheet", nil)
					if err != nil {
						return err
					}
					return printResult(c, out, v, func(w io.Writer, v configView) {
						writeConfigTable(w, v)
						fmt.Fprintf(w, "\n%s\n", v.Text)
					})
				},
			},
			{
				Name: "put", Usage: "put a sheet in force", ArgsUsage: "FILE",
				Description: "The sheet's base is the number of the configuration that it was drawn from.\nExample: bramleysail sheet put examples/association.sheet.toml",
				Flags:       adminFlags(&cli.BoolFlag{Name: "confirm", Usage: "the sheet is meant to drop half or more of what is declared"}),
				Action: func(ctx context.Context, c *cli.Command) error {
					text, err := readSheet(c)
					if err != nil {
						return err
					}
					v, err := callAdmin[configView](ctx, c, http.MethodPut, "/v1/sheet", struct {
						Text    string `json:"text"`
						Confirm bool   `json:"confirm"`
					}{text, c.Bool("confirm")})
					if err != nil {
						return err
					}
					return printResult(c, out, v, writeConfigTable)
				},
			},
			{
				Name: "diff", Usage: "show what a sheet would change", ArgsUsage: "FILE", Flags: adminFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					text, err := readSheet(c)
					if err != nil {
						return err
					}
					v, err := callAdmin[configView](ctx, c, http.MethodGet, "/v1/sheet", nil)
					if err != nil {
						return err
					}
					_, err = io.WriteString(out, sheet.DiffLines(v.Text, text))
					return err
				},
			},
		},
	}
}

// readSheet returns the text of the sheet in the file that the argument names, once it is checked.
func readSheet(c *cli.Command) (string, error) {
	name, err := singleArgument(c, "FILE")
	if err != nil {
		return "", err
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return "", exitError{errors.Wrap(err, "bramleysail"), ExitInvalid}
	}
	if _, err := sheet.Parse(string(data)); err != nil {
		return "", err
	}
	return string(data), nil
}

func domainCommand(out io.Writer) *cli.Command {
	subcommand := func(verb, usage string) *cli.Command {
		return &cli.Command{
			Name: verb, Usage: usage, ArgsUsage: "NAME", Flags: adminFlags(),
			Description: "Example: bramleysail domain " + verb + " heredia",
			Action: func(ctx context.Context, c *cli.Command) error {
				zone, err := singleArgument(c, "NAME")
				if err != nil {
					return err
				}
				v, err := callAdmin[configView](ctx, c, http.MethodPost, "/v1/zones/"+url.PathEscape(zone)+"/"+verb, nil)
				if err != nil {
					return err
				}
				return printResult(c, out, v, writeConfigTable)
			},
		}
	}
	return &cli.Command{
		Name: "domain", Usage: "take a failure domain out of service or bring it back",
		Commands: []*cli.Command{subcommand("out", "nothing starts there any more"), subcommand("back", "it may be used again")},
	}
}

func statusCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show what an entry process knows", Flags: adminFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			v, err := callAdmin[node.Status](ctx, c, http.MethodGet, "/v1/status", nil)
			if err != nil {
				return err
			}
			return printResult(c, out, v, writeStatusTable)
		},
	}
}

// writeStatusTable writes the rows of a status for printResult.
func writeStatusTable(w io.Writer, s node.Status) {
	fmt.Fprintf(w, "node\t%s\nzone\t%s\nready\t%t\nsure\t%t\nview\t%d\nmembers\t%s\nconfiguration\t%d\nout\t%s\nracks\t%s\nbuckets\t%s\n",
		s.Node, s.Zone, s.Ready, s.Authorized, s.ViewEpoch, strings.Join(s.Members, " "), s.ConfigVersion, strings.Join(s.EvacuatedZones, " "),
		strings.Join(s.Racks, " "), strings.Join(s.Buckets, " "))
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		v := s.Services[name]
		fmt.Fprintf(w, "\nservice %s\tqueued %d\n", name, v.Queued)
		for _, t := range v.Targets {
			fmt.Fprintf(w, "  %s\tslots %d\tin use %d\tuntracked %d\tleaving %t\tejected %t\n", t.Addr, t.Slots, t.Out, t.Ghosts, t.Leaving, t.Ejected)
		}
	}
}
