package hclfile

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"appleledge/internal/besteffort"
)

// HCL does not bound its own work: its parser descends by recursion, and a short expression may have a value of any size. What goes
// beyond these bounds is rejected before it is parsed or evaluated.
const (
	maxBracketDepth = 32
	maxLocals       = 1024
	maxLocalBytes   = 16 << 10 // of one local's value, roughly
)

// The exponents of numbers that float64 can hold, with its subnormal ones, and some more.
const (
	maxNumberExponent = 1024
	minNumberExponent = -1100
)

// checkDepth rejects a text whose brackets, those in strings too, nest deeper than the parser should follow: it would exhaust the
// stack, which no program survives.
func checkDepth(s Source) *hcl.Diagnostic {
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
		if depth > maxBracketDepth {
			pos := hcl.Pos{Line: line, Column: 1, Byte: i}
			return &hcl.Diagnostic{Severity: hcl.DiagError, Summary: "Too deep", Subject: &hcl.Range{Filename: s.Name, Start: pos, End: pos},
				Detail: fmt.Sprintf("Brackets stand more than %d deep here; no object of a configuration needs that.", maxBracketDepth)}
		}
	}
	return nil
}

// checkGrowth rejects expressions whose value may be far larger than their text: a for expression within another, and numbers that take
// a gigabyte when they are written out as a word, as 1e999999999 does.
func checkGrowth(f *hcl.File) (diags hcl.Diagnostics) {
	body, ok := f.Body.(*hclsyntax.Body)
	if !ok {
		return nil
	}
	w := &growthWalker{}
	besteffort.Ignore(hclsyntax.Walk(body, w))
	return w.diags
}

// growthWalker walks a file's nodes and counts the for expressions around the current one.
type growthWalker struct {
	forDepth int
	diags    hcl.Diagnostics
}

// Enter implements hclsyntax.Walker.
func (w *growthWalker) Enter(n hclsyntax.Node) hcl.Diagnostics {
	switch e := n.(type) {
	case *hclsyntax.ForExpr:
		if w.forDepth++; w.forDepth == 2 {
			w.add(n, "A loop in a loop", "A for expression must not stand within another one; give the inner one a name among locals.")
		}
	case *hclsyntax.LiteralValueExpr:
		if isHugeNumber(e.Val) {
			w.add(n, "No such number", "A number must lie within what 64-bit floating point can hold.")
		}
	}
	return nil
}

// Exit implements hclsyntax.Walker.
func (w *growthWalker) Exit(n hclsyntax.Node) hcl.Diagnostics {
	if _, ok := n.(*hclsyntax.ForExpr); ok {
		w.forDepth--
	}
	return nil
}

func (w *growthWalker) add(n hclsyntax.Node, summary, detail string) {
	at := n.Range()
	w.diags = append(w.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary, Subject: &at, Detail: detail})
}

// isHugeNumber reports whether a value is a number beyond float64.
func isHugeNumber(v cty.Value) bool {
	if v.IsNull() || !v.IsKnown() || v.Type() != cty.Number {
		return false
	}
	exponent := v.AsBigFloat().MantExp(nil)
	return v.AsBigFloat().IsInf() || exponent > maxNumberExponent || exponent < minNumberExponent
}

// valueBytes estimates how many bytes a value holds, up to a little more than maxLocalBytes: locals that double each other would fill
// the memory otherwise.
func valueBytes(v cty.Value) (n int) {
	const otherBytes = 8 // of a number or bool, and of an element besides its value
	switch {
	case v.IsNull() || !v.IsKnown():
		return 1
	case v.Type() == cty.String:
		return len(v.AsString())
	case isHugeNumber(v):
		return maxLocalBytes + 1
	case !v.CanIterateElements():
		return otherBytes
	}
	for it := v.ElementIterator(); it.Next(); {
		_, e := it.Element()
		if n += valueBytes(e) + otherBytes; n > maxLocalBytes {
			break
		}
	}
	return n
}
