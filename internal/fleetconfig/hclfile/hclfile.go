// Package hclfile reads a fleet's configuration from a folder of HCL files (https://github.com/hashicorp/hcl, native
// syntax), which together form one. Errors are HCL's diagnostics: the file, the line, the source and what was meant.
package hclfile

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"appleledge/internal/besteffort"
	"appleledge/internal/fleetconfig"
)

// Bounds of a folder. HCL's parser descends by recursion, so that what nests deeper than people write is refused unread.
const (
	mostFiles   = 256
	mostBytes   = 4 << 20 // of all files
	deepest     = 32      // brackets within brackets
	mostLocals  = 1024
	mostLocal   = 16 << 10 // bytes of one, or about as many
	endings     = ".hcl"
	mostProblem = 50 // shown at a time
)

// Source is one file.
type Source struct {
	Name string
	Text []byte
}

// Error is what is wrong with the files. Diagnostics can be printed with their source by hcl.NewDiagnosticTextWriter.
type Error struct {
	Diagnostics hcl.Diagnostics
	Files       map[string]*hcl.File
}

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Diagnostics))
	for _, d := range e.Diagnostics {
		lines = append(lines, d.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads the files of a folder that end in .hcl, without those below it.
func Load(dir string) ([]Source, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	var sources []Source
	sum := int64(0)
	for _, e := range entries {
		if e.IsDir() || filepath.Ext(e.Name()) != endings {
			continue
		}
		info, err := e.Info()
		if err != nil {
			return nil, fmt.Errorf("reading the configuration: %w", err)
		}
		if sum += info.Size(); sum > mostBytes || len(sources) == mostFiles {
			return nil, fmt.Errorf("%s holds more than %d files or %d bytes", dir, mostFiles, mostBytes)
		}
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, fmt.Errorf("reading the configuration: %w", err)
		}
		sources = append(sources, Source{filepath.Join(dir, e.Name()), text})
	}
	if len(sources) == 0 {
		return nil, fmt.Errorf("%s holds no file that ends in %s", dir, endings)
	}
	return sources, nil
}

// Read makes one configuration of the sources and checks it. Values set variables by name. An error is an *Error where it
// concerns the text.
func Read(sources []Source, values map[string]string, known fleetconfig.Names) (*fleetconfig.Config, error) {
	r := &reader{files: map[string]*hcl.File{}, values: values}
	bodies := make([]hcl.Body, 0, len(sources))
	for _, s := range sources {
		if d := tooDeep(s); d != nil {
			r.diags = append(r.diags, d)
			continue
		}
		f, diags := hclsyntax.ParseConfig(s.Text, s.Name, hcl.InitialPos)
		r.files[s.Name] = f
		r.diags = append(r.diags, diags...)
		if f != nil {
			r.diags = append(r.diags, unbounded(f)...)
			bodies = append(bodies, f.Body)
		}
	}
	if r.diags.HasErrors() {
		return nil, r.failed()
	}
	c := r.read(hcl.MergeBodies(bodies))
	if r.diags.HasErrors() {
		return nil, r.failed()
	}
	c.Normalize()
	if err := c.Check(known); err != nil {
		r.place(err)
		return nil, r.failed()
	}
	return c, nil
}

// tooDeep refuses a text whose brackets nest deeper than the parser should follow. Those in strings count too.
func tooDeep(s Source) *hcl.Diagnostic {
	depth, line := 0, 1
	for i, b := range s.Text {
		switch b {
		case '\n':
			line++
		case '{', '[', '(':
			depth++
		case '}', ']', ')':
			depth--
		}
		if depth > deepest {
			pos := hcl.Pos{Line: line, Column: 1, Byte: i}
			return &hcl.Diagnostic{Severity: hcl.DiagError, Summary: "Too deep", Subject: &hcl.Range{Filename: s.Name, Start: pos, End: pos},
				Detail: fmt.Sprintf("Brackets stand more than %d deep here; no object of a configuration needs that.", deepest)}
		}
	}
	return nil
}

// unbounded refuses expressions whose value may be far larger than their text: a for expression within another, and numbers
// that take a gigabyte when they are written out as a word, as 1e999999999 does.
func unbounded(f *hcl.File) (diags hcl.Diagnostics) {
	body, ok := f.Body.(*hclsyntax.Body)
	if !ok {
		return nil
	}
	w := &growth{}
	besteffort.Ignore(hclsyntax.Walk(body, w))
	return w.diags
}

// growth walks a file and counts the for expressions round a node.
type growth struct {
	depth int
	diags hcl.Diagnostics
}

func (w *growth) wrong(n hclsyntax.Node, summary, detail string) {
	at := n.Range()
	w.diags = append(w.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary, Subject: &at, Detail: detail})
}

func (w *growth) Enter(n hclsyntax.Node) hcl.Diagnostics {
	switch e := n.(type) {
	case *hclsyntax.ForExpr:
		if w.depth++; w.depth == 2 {
			w.wrong(n, "A loop in a loop", "A for expression must not stand within another one; give the inner one a name among locals.")
		}
	case *hclsyntax.LiteralValueExpr:
		if huge(e.Val) {
			w.wrong(n, "No such number", "A number must lie within what 64-bit floating point can hold.")
		}
	}
	return nil
}

// huge reports whether a value is a number beyond float64.
func huge(v cty.Value) bool {
	if v.IsNull() || !v.IsKnown() || v.Type() != cty.Number {
		return false
	}
	exp := v.AsBigFloat().MantExp(nil)
	return v.AsBigFloat().IsInf() || exp > 1024 || exp < -1100
}

func (w *growth) Exit(n hclsyntax.Node) hcl.Diagnostics {
	if _, ok := n.(*hclsyntax.ForExpr); ok {
		w.depth--
	}
	return nil
}

// reader gathers the configuration and what is wrong with it.
type reader struct {
	files  map[string]*hcl.File
	values map[string]string
	diags  hcl.Diagnostics
	where  map[string]hcl.Range // of objects, by kind and name
}

func (r *reader) failed() error {
	if len(r.diags) > mostProblem {
		r.diags = r.diags[:mostProblem]
	}
	return &Error{r.diags, r.files}
}

// The forms of blocks. Those with a name are decoded one by one, so that each has its place.
type (
	selector struct {
		Kinds    []string `hcl:"kinds,optional"`
		Zones    []string `hcl:"zones,optional"`
		Pods     []int    `hcl:"pods,optional"`
		IDs      []string `hcl:"ids,optional"`
		Networks []string `hcl:"networks,optional"`
	}
	poolBlock struct {
		Kinds    []string `hcl:"kinds,optional"`
		Zones    []string `hcl:"zones,optional"`
		Pods     []int    `hcl:"pods,optional"`
		IDs      []string `hcl:"ids,optional"`
		Networks []string `hcl:"networks,optional"`
	}
	routeBlock struct {
		Priority   int               `hcl:"priority,optional"`
		Class      string            `hcl:"class,optional"`
		Tenant     string            `hcl:"tenant,optional"`
		PathPrefix string            `hcl:"path_prefix,optional"`
		Headers    map[string]string `hcl:"headers,optional"`
		To         []struct {
			Pool   string `hcl:"pool,label"`
			Weight *int   `hcl:"weight,optional"`
		} `hcl:"to,block"`
	}
	limitBlock struct {
		Class    string  `hcl:"class,optional"`
		Tenant   string  `hcl:"tenant,optional"`
		InFlight *int    `hcl:"in_flight,optional"`
		Rate     float64 `hcl:"rate,optional"`
		Burst    int     `hcl:"burst,optional"`
		Attempts int     `hcl:"attempts,optional"`
		ComeBack string  `hcl:"come_back,optional"`
	}
	drainBlock struct {
		Share    *float64 `hcl:"share,optional"`
		Kinds    []string `hcl:"kinds,optional"`
		Zones    []string `hcl:"zones,optional"`
		Pods     []int    `hcl:"pods,optional"`
		IDs      []string `hcl:"ids,optional"`
		Networks []string `hcl:"networks,optional"`
	}
	deadlineBlock struct {
		Class  string `hcl:"class,optional"`
		Tenant string `hcl:"tenant,optional"`
		AtMost string `hcl:"at_most"`
	}
	rolloutBlock struct {
		Step float64 `hcl:"step"`
		Wait string  `hcl:"wait"`
	}
	watchBlock struct {
		For         string   `hcl:"for,optional"`
		FalseAlarms *float64 `hcl:"false_alarms,optional"`
	}
	variableBlock struct {
		Description string         `hcl:"description,optional"`
		Default     hcl.Expression `hcl:"default,optional"`
	}
)

// schema is what may stand at the top of a file.
var schema = &hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{
	{Type: "variable", LabelNames: []string{"name"}}, {Type: "locals"},
	{Type: "pool", LabelNames: []string{"name"}}, {Type: "route", LabelNames: []string{"name"}},
	{Type: "limit", LabelNames: []string{"name"}}, {Type: "drain", LabelNames: []string{"name"}},
	{Type: "deadline", LabelNames: []string{"name"}}, {Type: "rollout"}, {Type: "watch"},
}}

func (r *reader) read(body hcl.Body) *fleetconfig.Config {
	content, diags := body.Content(schema)
	r.diags = append(r.diags, diags...)
	if diags.HasErrors() {
		return nil
	}
	blocks := content.Blocks.ByType()
	context := &hcl.EvalContext{Variables: map[string]cty.Value{"var": r.variables(blocks["variable"])}}
	r.locals(blocks["locals"], context)
	c := &fleetconfig.Config{}
	r.where = map[string]hcl.Range{}
	for _, b := range content.Blocks {
		if r.diags.HasErrors() && len(r.diags) > mostProblem {
			break
		}
		r.block(c, b, context)
	}
	return c
}

// block takes one block over.
func (r *reader) block(c *fleetconfig.Config, b *hcl.Block, context *hcl.EvalContext) {
	name := ""
	if len(b.Labels) > 0 {
		name = b.Labels[0]
	}
	decode := func(into any) bool {
		r.where[key(b.Type, name)] = b.DefRange
		diags := gohcl.DecodeBody(b.Body, context, into)
		r.diags = append(r.diags, diags...)
		return !diags.HasErrors()
	}
	switch b.Type {
	case "pool":
		var x poolBlock
		if decode(&x) {
			c.Pools = append(c.Pools, fleetconfig.Pool{Name: name, Selector: r.selector(selector(x), b)})
		}
	case "drain":
		var x drainBlock
		if decode(&x) {
			c.Drains = append(c.Drains, fleetconfig.Drain{Name: name, Share: or(x.Share, 1),
				Selector: r.selector(selector{x.Kinds, x.Zones, x.Pods, x.IDs, x.Networks}, b)})
		}
	case "route":
		var x routeBlock
		if decode(&x) {
			route := fleetconfig.Route{Name: name, Priority: x.Priority, Class: x.Class, Tenant: x.Tenant, PathPrefix: x.PathPrefix, Headers: x.Headers}
			for _, to := range x.To {
				route.To = append(route.To, fleetconfig.Target{Pool: to.Pool, Weight: or(to.Weight, 1)})
			}
			c.Routes = append(c.Routes, route)
		}
	case "limit":
		var x limitBlock
		if decode(&x) {
			c.Limits = append(c.Limits, fleetconfig.Limit{Name: name, Class: x.Class, Tenant: x.Tenant, MaxInFlight: x.InFlight, Rate: x.Rate,
				Burst: x.Burst, MaxAttempts: x.Attempts, RetryAfter: r.time(x.ComeBack, 0, b, "come_back")})
		}
	case "deadline":
		var x deadlineBlock
		if decode(&x) {
			c.Deadlines = append(c.Deadlines, fleetconfig.Deadline{Name: name, Class: x.Class, Tenant: x.Tenant, AtMost: r.time(x.AtMost, 0, b, "at_most")})
		}
	case "rollout":
		var x rolloutBlock
		if r.once(c.Rollout != nil, b) && decode(&x) {
			c.Rollout = &fleetconfig.Rollout{Step: x.Step, Wait: r.time(x.Wait, 0, b, "wait")}
		}
	case "watch":
		var x watchBlock
		if r.once(c.Watch != nil, b) && decode(&x) {
			c.Watch = &fleetconfig.Watch{Duration: r.time(x.For, fleetconfig.DefaultWatchFor, b, "for"),
				FalseAlarms: or(x.FalseAlarms, fleetconfig.DefaultFalseAlarms)}
		}
	}
}

func or[T any](set *T, otherwise T) T {
	if set == nil {
		return otherwise
	}
	return *set
}

func key(kind, name string) string { return kind + " " + name }

func (r *reader) wrong(at hcl.Range, summary, format string, args ...any) {
	r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary, Detail: fmt.Sprintf(format, args...), Subject: &at})
}

// once refuses a second block of a kind of which there is one.
func (r *reader) once(there bool, b *hcl.Block) bool {
	if there {
		r.wrong(b.DefRange, "Twice", "There is one %s block in a configuration; another stands at %s.", b.Type, r.where[key(b.Type, "")])
	}
	return !there
}

func (r *reader) time(text string, otherwise fleetconfig.Duration, b *hcl.Block, field string) fleetconfig.Duration {
	if text == "" {
		return otherwise
	}
	var t fleetconfig.Duration
	if err := t.UnmarshalText([]byte(text)); err != nil {
		r.wrong(fieldRange(b, field), "No duration", "%v.", err)
	}
	return t
}

// selector takes a selector over.
func (r *reader) selector(s selector, b *hcl.Block) fleetconfig.Selector {
	out := fleetconfig.Selector{Kinds: s.Kinds, Zones: s.Zones, Pods: s.Pods, IDs: s.IDs}
	for _, text := range s.Networks {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			r.wrong(fieldRange(b, "networks"), "No network", "%q is no network; write an address and a length, such as \"10.1.0.0/16\".", text)
			continue
		}
		out.Networks = append(out.Networks, p)
	}
	return out
}

// fieldRange is where a block sets a field, or else where it begins.
func fieldRange(b *hcl.Block, field string) hcl.Range {
	if body, ok := b.Body.(*hclsyntax.Body); ok && body.Attributes[field] != nil {
		return body.Attributes[field].SrcRange
	}
	return b.DefRange
}

// place turns what Check says into diagnostics at the objects it names.
func (r *reader) place(err error) {
	all := []error{err}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		all = joined.Unwrap()
	}
	for _, err := range all {
		p, ok := errors.AsType[fleetconfig.Problem](err)
		if !ok {
			r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: "Wrong", Detail: err.Error()})
			continue
		}
		at, known := r.where[key(p.Kind, p.Name)]
		d := &hcl.Diagnostic{Severity: hcl.DiagError, Summary: "Wrong " + p.Kind, Detail: p.Error() + "."}
		if known {
			d.Subject = &at
		}
		r.diags = append(r.diags, d)
	}
}

// variables are the values of variables: what the caller sets, or else their defaults. Values are read as HCL reads them.
func (r *reader) variables(blocks []*hcl.Block) cty.Value {
	out, seen := map[string]cty.Value{}, map[string]bool{}
	for _, b := range blocks {
		name := b.Labels[0]
		var x variableBlock
		diags := gohcl.DecodeBody(b.Body, nil, &x)
		r.diags = append(r.diags, diags...)
		if diags.HasErrors() {
			continue
		}
		if seen[name] {
			r.wrong(b.DefRange, "Twice", "Variable %q is there twice.", name)
		}
		seen[name] = true
		v, diags := x.Default.Value(nil)
		if text, set := r.values[name]; set {
			v, diags = r.value(text, name)
		} else if v.IsNull() {
			r.wrong(b.DefRange, "No value", "Variable %q has no default and is not set; set it with -var %s=VALUE.", name, name)
		}
		r.diags = append(r.diags, diags...)
		out[name] = v
	}
	for name := range r.values {
		if !seen[name] {
			r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: "No such variable",
				Detail: fmt.Sprintf("%q is set, and no variable block has that name.", name)})
		}
	}
	return cty.ObjectVal(out)
}

// value reads a value as it was given on a command line: an expression, or else a word.
func (r *reader) value(text, name string) (cty.Value, hcl.Diagnostics) {
	if tooDeep(Source{Text: []byte(text)}) != nil {
		return cty.StringVal(text), nil
	}
	e, diags := hclsyntax.ParseExpression([]byte(text), "-var "+name, hcl.InitialPos)
	if !diags.HasErrors() {
		if v, diags := e.Value(nil); !diags.HasErrors() {
			return v, nil
		}
	}
	return cty.StringVal(text), nil
}

// locals evaluates what locals blocks name, each when all that it refers to is known. What is left refers to itself.
func (r *reader) locals(blocks []*hcl.Block, context *hcl.EvalContext) {
	open := map[string]*hcl.Attribute{}
	for _, b := range blocks {
		attrs, diags := b.Body.JustAttributes()
		r.diags = append(r.diags, diags...)
		for name, a := range attrs {
			if open[name] != nil {
				r.wrong(a.NameRange, "Twice", "Local %q is there twice.", name)
			}
			open[name] = a
		}
	}
	if len(open) > mostLocals {
		r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: "Too many locals",
			Detail: fmt.Sprintf("There are %d locals, %d at most.", len(open), mostLocals)})
		return
	}
	known := map[string]cty.Value{}
	for len(open) > 0 {
		before := len(open)
		for _, name := range sortedKeys(open) {
			a := open[name]
			if waits(a.Expr, open) {
				continue
			}
			context.Variables["local"] = cty.ObjectVal(known)
			v, diags := a.Expr.Value(context)
			r.diags = append(r.diags, diags...)
			if size(v) > mostLocal {
				r.wrong(a.NameRange, "Too large", "Local %q grows over %d bytes.", name, mostLocal)
				v = cty.NullVal(cty.String)
			}
			known[name] = v
			delete(open, name)
		}
		if len(open) == before {
			names := sortedKeys(open)
			r.wrong(open[names[0]].NameRange, "Locals in a circle", "%s refer to themselves or to each other.", strings.Join(names, ", "))
			break
		}
	}
	context.Variables["local"] = cty.ObjectVal(known)
}

// waits reports whether an expression refers to a local that has no value yet.
func waits(e hcl.Expression, open map[string]*hcl.Attribute) bool {
	return slices.ContainsFunc(e.Variables(), func(t hcl.Traversal) bool {
		if t.RootName() != "local" || len(t) < 2 {
			return false
		}
		attr, ok := t[1].(hcl.TraverseAttr)
		return ok && open[attr.Name] != nil
	})
}

// size is about how many bytes a value holds: locals that double each other would fill the memory otherwise.
func size(v cty.Value) (n int) {
	if v.IsNull() || !v.IsKnown() {
		return 1
	}
	if v.Type() == cty.String {
		return len(v.AsString())
	}
	if huge(v) {
		return mostLocal + 1
	}
	if !v.CanIterateElements() {
		return 8
	}
	for it := v.ElementIterator(); it.Next(); {
		_, e := it.Element()
		if n += size(e) + 8; n > mostLocal {
			break
		}
	}
	return n
}

func sortedKeys(m map[string]*hcl.Attribute) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
