// Package hclfile reads a fleet's configuration from a directory of HCL files (https://github.com/hashicorp/hcl, native syntax), which
// together form one configuration.
//
// Load reads the files and Read turns them into a fleetconfig.Config: it bounds what they may cost (bounds.go), evaluates variables and
// locals (values.go), decodes the blocks (blocks.go) and checks the result. Errors are HCL's diagnostics, with the file, the line, the
// source and what was meant.
//
// Only appleledgectl links this package: the agent gets the model as JSON, so that it need not contain a parser whose input is hard to
// bound.
package hclfile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"appleledge/internal/fleetconfig"
)

const (
	fileExtension  = ".hcl"
	maxFiles       = 256
	maxTotalBytes  = 4 << 20 // of all files
	maxDiagnostics = 50      // that an Error holds
)

// Source is the text of one file.
type Source struct {
	Name string // in diagnostics
	Text []byte
}

// Error is what is wrong with the files. Its diagnostics can be printed with their source by hcl.NewDiagnosticTextWriter.
type Error struct {
	Diagnostics hcl.Diagnostics
	Files       map[string]*hcl.File
}

// Error returns the diagnostics, a line each.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Diagnostics))
	for _, d := range e.Diagnostics {
		lines = append(lines, d.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads the files of a directory that end in .hcl, without those of its subdirectories.
func Load(dir string) ([]Source, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	var sources []Source
	totalBytes := int64(0)
	for _, e := range entries {
		if e.IsDir() || filepath.Ext(e.Name()) != fileExtension {
			continue
		}
		info, err := e.Info()
		if err != nil {
			return nil, fmt.Errorf("reading the configuration: %w", err)
		}
		if totalBytes += info.Size(); totalBytes > maxTotalBytes || len(sources) == maxFiles {
			return nil, fmt.Errorf("%s holds more than %d files or %d bytes", dir, maxFiles, maxTotalBytes)
		}
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, fmt.Errorf("reading the configuration: %w", err)
		}
		sources = append(sources, Source{filepath.Join(dir, e.Name()), text})
	}
	if len(sources) == 0 {
		return nil, fmt.Errorf("%s holds no file that ends in %s", dir, fileExtension)
	}
	return sources, nil
}

// Read makes one configuration of the sources and checks it against known names. values are the values of variables, by name, as HCL
// expressions or plain words. The error is an *Error.
func Read(sources []Source, values map[string]string, known fleetconfig.Names) (*fleetconfig.Config, error) {
	r := &reader{files: map[string]*hcl.File{}, values: values}
	bodies := r.parse(sources)
	if r.diags.HasErrors() {
		return nil, r.err()
	}
	c := r.decode(hcl.MergeBodies(bodies))
	if r.diags.HasErrors() {
		return nil, r.err()
	}
	c.Normalize()
	if err := c.Check(known); err != nil {
		r.addCheckErrors(err)
		return nil, r.err()
	}
	return c, nil
}

// reader collects the diagnostics of one Read.
type reader struct {
	files   map[string]*hcl.File // by name
	values  map[string]string    // of variables, from the caller
	diags   hcl.Diagnostics
	objects map[string]hcl.Range // where objects are defined, by objectKey
}

// parse parses the sources that are within the bounds.
func (r *reader) parse(sources []Source) []hcl.Body {
	bodies := make([]hcl.Body, 0, len(sources))
	for _, s := range sources {
		if d := checkDepth(s); d != nil {
			r.diags = append(r.diags, d)
			continue
		}
		f, diags := hclsyntax.ParseConfig(s.Text, s.Name, hcl.InitialPos)
		r.files[s.Name] = f
		r.diags = append(r.diags, diags...)
		if f != nil {
			r.diags = append(r.diags, checkGrowth(f)...)
			bodies = append(bodies, f.Body)
		}
	}
	return bodies
}

// err returns the diagnostics as an *Error, the first of them if there are many.
func (r *reader) err() error {
	if len(r.diags) > maxDiagnostics {
		r.diags = r.diags[:maxDiagnostics]
	}
	return &Error{r.diags, r.files}
}

// add adds a diagnostic at a place.
func (r *reader) add(at hcl.Range, summary, format string, args ...any) {
	r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary, Detail: fmt.Sprintf(format, args...), Subject: &at})
}

// addWithoutPlace adds a diagnostic that concerns no place in the files.
func (r *reader) addWithoutPlace(summary, detail string) {
	r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary, Detail: detail})
}

// objectKey identifies an object by its kind and name.
func objectKey(kind, name string) string { return kind + " " + name }

// addCheckErrors adds the errors of fleetconfig.Config.Check, each at the object that it names.
func (r *reader) addCheckErrors(err error) {
	all := []error{err}
	if joined, ok := errors.AsType[interface {
		error
		Unwrap() []error
	}](err); ok {
		all = joined.Unwrap()
	}
	for _, err := range all {
		e, ok := errors.AsType[fleetconfig.ObjectError](err)
		if !ok {
			r.addWithoutPlace("Wrong", err.Error())
			continue
		}
		d := &hcl.Diagnostic{Severity: hcl.DiagError, Summary: "Wrong " + e.Kind, Detail: e.Error() + "."}
		if at, found := r.objects[objectKey(e.Kind, e.Name)]; found {
			d.Subject = &at
		}
		r.diags = append(r.diags, d)
	}
}
