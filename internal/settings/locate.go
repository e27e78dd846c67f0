package settings

import (
	"github.com/pelletier/go-toml/v2/unstable"
)

// locate returns the line of each key and table of a TOML text, by its dotted name, so that an error of the values can
// say where they stand: the decoder tells it only of what it can't read. Of a text that is no TOML it returns what comes
// before the fault, which the decoder reports.
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

// note records the lines of an expression's key and of the tables that it implies, and returns its dotted name.
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

// TableLines returns the lines at which the tables of a TOML text begin, by their names, in order: several of a name where it
// is one of an array.
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
