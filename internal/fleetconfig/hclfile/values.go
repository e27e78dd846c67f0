package hclfile

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

type variableBlock struct {
	Description string         `hcl:"description,optional"`
	Default     hcl.Expression `hcl:"default,optional"`
}

// evaluateVariables returns the values of the variables as an object: the caller's, or else their defaults.
func (r *reader) evaluateVariables(blocks []*hcl.Block) cty.Value {
	values, defined := map[string]cty.Value{}, map[string]bool{}
	for _, b := range blocks {
		name := b.Labels[0]
		var v variableBlock
		diags := gohcl.DecodeBody(b.Body, nil, &v)
		r.diags = append(r.diags, diags...)
		if diags.HasErrors() {
			continue
		}
		if defined[name] {
			r.add(b.DefRange, "Twice", "Variable %q is there twice.", name)
		}
		defined[name] = true
		values[name] = r.variableValue(b, name, v.Default)
	}
	for name := range r.values {
		if !defined[name] {
			r.addWithoutPlace("No such variable", fmt.Sprintf("%q is set, and no variable block has that name.", name))
		}
	}
	return cty.ObjectVal(values)
}

// variableValue returns the value of one variable.
func (r *reader) variableValue(b *hcl.Block, name string, defaultValue hcl.Expression) cty.Value {
	v, diags := defaultValue.Value(nil)
	if text, isSet := r.values[name]; isSet {
		return parseValue(text, name)
	}
	if v.IsNull() {
		r.add(b.DefRange, "No value", "Variable %q has no default and is not set; set it with -var %s=VALUE.", name, name)
	}
	r.diags = append(r.diags, diags...)
	return v
}

// parseValue returns the value of a text from the command line: that of an HCL expression, or else the text as a string.
func parseValue(text, name string) cty.Value {
	if checkDepth(Source{Text: []byte(text)}) != nil {
		return cty.StringVal(text)
	}
	e, diags := hclsyntax.ParseExpression([]byte(text), "-var "+name, hcl.InitialPos)
	if !diags.HasErrors() {
		if v, diags := e.Value(nil); !diags.HasErrors() {
			return v
		}
	}
	return cty.StringVal(text)
}

// evaluateLocals evaluates the locals into context, each once all locals that it refers to have values. What is left over refers to
// itself.
func (r *reader) evaluateLocals(blocks []*hcl.Block, context *hcl.EvalContext) {
	pending := r.collectLocals(blocks)
	if len(pending) > maxLocals {
		r.addWithoutPlace("Too many locals", fmt.Sprintf("There are %d locals, %d at most.", len(pending), maxLocals))
		return
	}
	values := map[string]cty.Value{}
	for len(pending) > 0 {
		before := len(pending)
		for _, name := range slices.Sorted(maps.Keys(pending)) {
			attribute := pending[name]
			if refersToAny(attribute.Expr, pending) {
				continue
			}
			context.Variables["local"] = cty.ObjectVal(values)
			v, diags := attribute.Expr.Value(context)
			r.diags = append(r.diags, diags...)
			if valueBytes(v) > maxLocalBytes {
				r.add(attribute.NameRange, "Too large", "Local %q grows over %d bytes.", name, maxLocalBytes)
				v = cty.NullVal(cty.String)
			}
			values[name] = v
			delete(pending, name)
		}
		if len(pending) == before {
			names := slices.Sorted(maps.Keys(pending))
			r.add(pending[names[0]].NameRange, "Locals in a circle", "%s refer to themselves or to each other.", strings.Join(names, ", "))
			break
		}
	}
	context.Variables["local"] = cty.ObjectVal(values)
}

// collectLocals returns the attributes of all locals blocks, by name.
func (r *reader) collectLocals(blocks []*hcl.Block) map[string]*hcl.Attribute {
	all := map[string]*hcl.Attribute{}
	for _, b := range blocks {
		attributes, diags := b.Body.JustAttributes()
		r.diags = append(r.diags, diags...)
		for name, a := range attributes {
			if all[name] != nil {
				r.add(a.NameRange, "Twice", "Local %q is there twice.", name)
			}
			all[name] = a
		}
	}
	return all
}

// refersToAny reports whether an expression refers to one of the locals.
func refersToAny(e hcl.Expression, locals map[string]*hcl.Attribute) bool {
	return slices.ContainsFunc(e.Variables(), func(t hcl.Traversal) bool {
		if t.RootName() != "local" || len(t) < 2 {
			return false
		}
		attribute, ok := t[1].(hcl.TraverseAttr)
		return ok && locals[attribute.Name] != nil
	})
}
