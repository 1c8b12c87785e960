package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/settings"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	outputText = "text"
	outputJSON = "json"
)

// clientOptions holds the flags of every command that calls a node.
type clientOptions struct {
	node    string
	output  string
	timeout time.Duration
	out     io.Writer

	tokenOptional bool // the node may be a hosted one, which has no token
}

func (o *clientOptions) registerFlags(c *kingpin.CmdClause) *kingpin.CmdClause {
	c.Flag("node", "Operator address of any node.").Envar("LAVENDERRILL_NODE").Default("127.0.0.1:8082").StringVar(&o.node)
	c.Flag("output", "Output format: text or json.").Envar("LAVENDERRILL_OUTPUT").Default(outputText).EnumVar(&o.output, outputText, outputJSON)
	c.Flag("timeout", "Time-out of the command.").Envar("LAVENDERRILL_COMMAND_TIMEOUT").Default("30s").DurationVar(&o.timeout)
	o.out = os.Stdout
	return c
}

func (o *clientOptions) client() (*client.Client, error) {
	token := os.Getenv(settings.TokenEnv)
	if token == "" && !o.tokenOptional {
		return nil, fault.Newf(fault.Settings, "%s: must be set to the operator token", settings.TokenEnv)
	}
	return client.New(client.Config{Node: o.node, Token: token, Timeout: o.timeout}), nil
}

// print writes v as JSON, or the result of text if the output format is text.
func (o *clientOptions) print(v any, text func() string) error {
	if o.output == outputJSON {
		enc := json.NewEncoder(o.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	_, err := fmt.Fprint(o.out, text())
	return err
}

// withClient returns a command action that calls f with a client and the time-out of
// the command.
func (o *clientOptions) withClient(f func(context.Context, *client.Client) error) func(context.Context) error {
	return func(ctx context.Context) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, o.timeout)
		defer cancel()
		return f(ctx, c)
	}
}

func operatorCommands(app *kingpin.Application) []command {
	cmds := []command{
		validateCommand(app),
		planCommand(app),
		acceptCommand(app),
		restoreCommand(app),
		statusCommand(app),
		historyCommand(app),
		explainCommand(app),
	}
	cmds = append(cmds, documentCommands(app, "template", "Shows templates.", config.TemplateKey)...)
	account := func(name string) config.DocumentKey { return config.AccountKey(mesh.ClientAccount(name)) }
	return append(cmds, documentCommands(app, "account", "Shows client accounts.", account)...)
}

func validateCommand(app *kingpin.Application) command {
	c := app.Command("validate", "Checks files as one complete configuration, without a node.")
	files := c.Arg("file", "YAML files with documents.").Required().ExistingFilesOrDirs()
	return command{c, func(context.Context) error {
		return validateFiles(*files, os.Stdout)
	}}
}

func validateFiles(files []string, out io.Writer) error {
	m, parts, err := readConfiguration(files)
	if err != nil {
		return fault.Newf(fault.InvalidConfig, "%w", err)
	}
	s, err := config.Compile(1, m, func(d mesh.Digest) (config.Part, bool) {
		p, ok := parts[d]
		return p, ok
	})
	if err != nil {
		return fault.Newf(fault.InvalidConfig, "%w", err)
	}
	_, err = fmt.Fprintf(out, "valid: %d documents, %d client accounts, %d routes, %d services\n",
		len(m.Entries), len(s.Accounts), len(s.Routes), len(s.Services))
	return err
}

func readConfiguration(files []string) (config.Manifest, map[mesh.Digest]config.Part, error) {
	var m config.Manifest
	var errs []error
	parts := map[mesh.Digest]config.Part{}
	files, err := expandDirs(files)
	if err != nil {
		return m, parts, err
	}
	for _, name := range files {
		ds, err := readDocuments(name)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		for _, d := range ds {
			parts[d.Part.Digest()] = d.Part
			m = m.With(config.Entry{Key: d.Key, Revision: 1, Part: d.Part.Digest()})
		}
	}
	return m, parts, errors.Join(errs...)
}

// expandDirs replaces each directory in names by the YAML files in it.
func expandDirs(names []string) ([]string, error) {
	var out []string
	for _, name := range names {
		if s, err := os.Stat(name); err != nil || !s.IsDir() {
			out = append(out, name) // reading it later reports a missing file
			continue
		}
		es, err := os.ReadDir(name)
		if err != nil {
			return nil, fault.Newf(fault.InvalidConfig, "read directory: %w", err)
		}
		n := len(out)
		for _, e := range es {
			if x := filepath.Ext(e.Name()); !e.IsDir() && (x == ".yaml" || x == ".yml") {
				out = append(out, filepath.Join(name, e.Name()))
			}
		}
		if len(out) == n {
			return nil, fault.Newf(fault.InvalidConfig, "%s: directory contains no .yaml or .yml file", name)
		}
	}
	return out, nil
}

func readDocuments(name string) ([]config.Document, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("read documents: %w", err)
	}
	defer func() { _ = f.Close() }()
	return config.ParseDocuments(name, f)
}

// editArgs holds the arguments of the commands that take documents.
type editArgs struct {
	files  []string
	remove []string
}

func (a *editArgs) registerArgs(c *kingpin.CmdClause) {
	c.Arg("file", "YAML files with documents, or directories of them; - reads standard input.").StringsVar(&a.files)
	c.Flag("remove", "Document to remove, such as account/NAME; may be repeated.").StringsVar(&a.remove)
}

// revisionLine matches the line that `template show` and `account show` print before
// a document, so that an edit made from it is based on that revision.
var revisionLine = regexp.MustCompile(`(?m)^# revision ([0-9]+) of ([a-z0-9/-]+)$`)

func (a *editArgs) read(stdin io.Reader) (client.Edit, error) {
	out := client.Edit{Bases: map[config.DocumentKey]mesh.Revision{}}
	files, err := expandDirs(a.files)
	if err != nil {
		return out, err
	}
	for _, name := range files {
		b, err := readFile(name, stdin)
		if err != nil {
			return out, fault.Newf(fault.InvalidConfig, "read documents: %w", err)
		}
		out.Files = append(out.Files, client.File{Name: name, Content: string(b)})
		for _, m := range revisionLine.FindAllStringSubmatch(string(b), -1) {
			n, err := strconv.ParseUint(m[1], 10, 64)
			if err != nil {
				return out, fault.Newf(fault.InvalidConfig, "%s: revision line: %w", name, err)
			}
			out.Bases[config.DocumentKey(m[2])] = mesh.Revision(n)
		}
	}
	for _, k := range a.remove {
		out.Remove = append(out.Remove, config.DocumentKey(k))
	}
	if len(out.Files) == 0 && len(out.Remove) == 0 {
		return out, fault.New(fault.Settings, "name at least one file or one --remove")
	}
	return out, nil
}

func readFile(name string, stdin io.Reader) ([]byte, error) {
	if name == "-" || name == stdinPath {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(name)
}

func planCommand(app *kingpin.Application) command {
	var opts clientOptions
	var args editArgs
	c := opts.registerFlags(app.Command("plan", "Shows what an edit would change, and for which client accounts."))
	args.registerArgs(c)
	return command{c, opts.withClient(func(ctx context.Context, cl *client.Client) error {
		in, err := args.read(os.Stdin)
		if err != nil {
			return err
		}
		p, err := cl.Plan(ctx, in)
		if err != nil {
			return err
		}
		return opts.print(p, func() string { return planText(p) })
	})}
}

func planText(p client.Plan) string {
	if p.Empty {
		return fmt.Sprintf("No change against version %d.\n", p.Version)
	}
	return fmt.Sprintf("Against version %d, %d client accounts affected:\n%s", p.Version, len(p.Accounts), p.Text)
}

func acceptCommand(app *kingpin.Application) command {
	var opts clientOptions
	var args editArgs
	var change changeOptions
	c := opts.registerFlags(app.Command("accept", "Makes an edit the next version of the configuration."))
	args.registerArgs(c)
	change.registerFlags(c)
	return command{c, opts.withClient(func(ctx context.Context, cl *client.Client) error {
		in, err := args.read(os.Stdin)
		if err != nil {
			return err
		}
		id := change.changeID()
		req := client.AcceptRequest{Change: id, Operator: operatorName(), Edit: in}
		a, err := retryUnknownOutcome(ctx, id, func(ctx context.Context) (client.Accepted, error) { return cl.Accept(ctx, req) })
		if err != nil {
			return err
		}
		return change.reportResult(ctx, &opts, cl, a)
	})}
}

func restoreCommand(app *kingpin.Application) command {
	var opts clientOptions
	var change changeOptions
	c := opts.registerFlags(app.Command("restore", "Makes the content of an old version the next version."))
	v := c.Arg("version", "Version to take the content from.").Required().Uint64()
	change.registerFlags(c)
	return command{c, opts.withClient(func(ctx context.Context, cl *client.Client) error {
		id := change.changeID()
		req := client.RestoreRequest{Change: id, Operator: operatorName(), Version: mesh.Version(*v)}
		a, err := retryUnknownOutcome(ctx, id, func(ctx context.Context) (client.Accepted, error) { return cl.Restore(ctx, req) })
		if err != nil {
			return err
		}
		return change.reportResult(ctx, &opts, cl, a)
	})}
}

// operatorName returns the name that the history records for information. It is not
// a credential.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func newChangeID() mesh.ChangeID { return mesh.ChangeID(uuid.NewString()) }

func statusCommand(app *kingpin.Application) command {
	var opts clientOptions
	c := opts.registerFlags(app.Command("status", "Shows which version each availability zone serves, and the backend servers."))
	v := c.Flag("at", "Version that nodes are compared with; the node's own if 0.").Default("0").Uint64()
	return command{c, opts.withClient(func(ctx context.Context, cl *client.Client) error {
		s, err := cl.Status(ctx, mesh.Version(*v))
		if err != nil {
			return err
		}
		return opts.print(s, func() string { return statusText(s) })
	})}
}

func statusText(s client.Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node %s: ready %v, version %d, digest %s\n", s.Node, s.Ready, s.Version, s.Digest)
	fmt.Fprintf(&b, "nodes at version %d or above:\n", s.Target)
	for _, z := range s.Zones {
		fmt.Fprintf(&b, "  %-20s %d of %d\n", z.Zone, z.Current, z.Members)
	}
	fmt.Fprintf(&b, "backend servers:\n")
	for _, e := range s.Endpoints {
		fmt.Fprintf(&b, "  %-20s %-20s %-10s %-8s %s\n", e.Service, e.Zone, e.State, e.Status, e.Node)
	}
	return b.String()
}

func historyCommand(app *kingpin.Application) command {
	var opts clientOptions
	c := opts.registerFlags(app.Command("history", "Lists accepted versions, newest first."))
	limit := c.Flag("limit", "Most entries shown.").Default("20").Int()
	return command{c, opts.withClient(func(ctx context.Context, cl *client.Client) error {
		h, err := cl.History(ctx, *limit)
		if err != nil {
			return err
		}
		return opts.print(h, func() string { return historyText(h) })
	})}
}

func historyText(h []client.HistoryEntry) string {
	var b strings.Builder
	for _, e := range h {
		keys := make([]string, 0, len(e.Documents))
		for _, k := range e.Documents {
			keys = append(keys, string(k))
		}
		fmt.Fprintf(&b, "%6d  %s  %-12s %s  %s\n", e.Version, e.Time.UTC().Format(time.RFC3339), e.Operator, strings.Join(keys, " "), e.Change)
	}
	return b.String()
}

func documentCommands(app *kingpin.Application, noun, about string, key func(string) config.DocumentKey) []command {
	group := app.Command(noun, about)
	var listOpts, showOpts clientOptions
	list := listOpts.registerFlags(group.Command("list", "Lists names and revisions."))
	show := showOpts.registerFlags(group.Command("show", "Prints one document as YAML, ready to be edited and accepted."))
	name := show.Arg("name", "Name of the document.").Required().String()
	return []command{
		{list, listOpts.withClient(func(ctx context.Context, cl *client.Client) error {
			return listDocuments(ctx, cl, &listOpts, noun+"/")
		})},
		{show, showOpts.withClient(func(ctx context.Context, cl *client.Client) error {
			d, err := cl.Document(ctx, key(*name))
			if err != nil {
				return err
			}
			return showOpts.print(d, func() string {
				return fmt.Sprintf("# revision %d of %s\n%s", d.Revision, d.Key, d.Content)
			})
		})},
	}
}

func listDocuments(ctx context.Context, cl *client.Client, opts *clientOptions, prefix string) error {
	all, err := cl.Documents(ctx)
	if err != nil {
		return err
	}
	ds := make([]client.Document, 0, len(all))
	for _, d := range all {
		if strings.HasPrefix(string(d.Key), prefix) {
			ds = append(ds, d)
		}
	}
	return opts.print(ds, func() string {
		var b strings.Builder
		for _, d := range ds {
			fmt.Fprintf(&b, "%-40s revision %d\n", strings.TrimPrefix(string(d.Key), prefix), d.Revision)
		}
		return b.String()
	})
}
