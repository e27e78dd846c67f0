package settings

import (
	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line of each key and table of a TOML text, by its dotted name, for errors of values that the decoder
// accepts but a section's check rejects. Of a text that is not TOML it returns what precedes the syntax error, which the
// decoder reports.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = recordKey(lines, &p, e, "") + "."
		case unstable.KeyValue:
			recordKey(lines, &p, e, table)
		}
	}
	return lines
}

// recordKey records the lines of an expression's key and of the tables that it implies, and returns its dotted name.
func recordKey(lines map[string]int, p *unstable.Parser, e *unstable.Node, table string) string {
	name := table
	for it := e.Key(); it.Next(); {
		part := it.Node()
		name += string(part.Data)
		if _, known := lines[name]; !known {
			lines[name] = p.Shape(part.Raw).Start.Line
		}
		if !it.IsLast() {
			name += "."
		}
	}
	return name
}

// TableLines returns the lines at which the tables of a TOML text begin, by their names, in order; several for the name of
// an array of tables.
func TableLines(text []byte) map[string][]int {
	lines := map[string][]int{}
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		if e := p.Expression(); e.Kind == unstable.Table || e.Kind == unstable.ArrayTable {
			own := map[string]int{}
			name := recordKey(own, &p, e, "")
			lines[name] = append(lines[name], own[name])
		}
	}
	return lines
}
