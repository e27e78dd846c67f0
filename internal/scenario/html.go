package scenario

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"time"
)

// JSON writes the report for other programs: times in nanoseconds, shares from 0 to 1.
func (d Report) JSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(d)
}

// Sizes of the plots, in pixels.
const (
	plotWidth  = 960.0
	plotHeight = 220.0
	rowHeight  = 16.0
)

// plotBar is one rectangle of the plot: the requests of one second that had one result.
type plotBar struct {
	X, Y, W, H float64
	Kind       string
	Title      string
}

// plotBand is an event in the plot.
type plotBand struct {
	X, W, TextY float64
	Name        string
}

// heatMapRow is a server in the heat map.
type heatMapRow struct {
	Y     float64
	Name  string
	Cells []plotBar
}

// htmlPage is the data of the page's template.
type htmlPage struct {
	Title            string
	Report           Report
	Bars             []plotBar
	Bands            []plotBand
	Rows             []heatMapRow
	Ticks            []plotBand
	Width, Height    float64
	HeatHeight, Most float64
	Figures          []figure
	Passed           bool
}

// figure is a named number at the top of the page.
type figure struct {
	Name  string
	Value float64
}

// HTML writes the report as one page that needs nothing else: the requests of each second by how they ended, under the
// events, and how full each server was.
func (d Report) HTML(out io.Writer, title string) error {
	p := htmlPage{Title: title, Report: d, Width: plotWidth, Height: plotHeight, HeatHeight: rowHeight * float64(len(d.Servers)),
		Passed: d.Passed(), Figures: []figure{{"service", d.Service.Figure}, {"whole day", d.Service.Whole},
			{"worst 10 s", d.Service.Worst10}, {"worst class", d.Service.WorstClass}, {"worst refund point", d.Service.WorstPoint}}}
	seconds := max(1, len(d.Seconds))
	step := plotWidth / float64(seconds)
	most := 1
	for _, s := range d.Seconds {
		most = max(most, s.Offered)
	}
	p.Most = float64(most)
	for i, s := range d.Seconds {
		y := plotHeight
		for _, part := range []struct {
			kind string
			n    int
		}{{"intime", s.InTime}, {"late", s.Late}, {"refused", s.Rejected}, {"failed", s.Failed}, {"lost", s.Unanswered}} {
			h := plotHeight * float64(part.n) / float64(most)
			y -= h
			if part.n > 0 {
				p.Bars = append(p.Bars, plotBar{float64(i) * step, y, step * 0.9, h, part.kind,
					fmt.Sprintf("second %d: %d %s", i, part.n, kindNames[part.kind])})
			}
		}
	}
	for i, h := range d.Events {
		at := (h.At - startTime - settleTime).Seconds()
		p.Bands = append(p.Bands, plotBand{at * step, max(2, h.Duration.Seconds()*step), 12 + 13*float64(i%6), h.Type})
	}
	for s := 0; s <= seconds; s += 10 {
		p.Ticks = append(p.Ticks, plotBand{X: float64(s) * step, Name: (time.Duration(s) * time.Second).String()})
	}
	p.Rows = d.heatMapRows(step)
	return reportPage.Execute(out, p)
}

// heatMapRows returns one row a server: the requests that it held, second by second, over its capacity.
func (d Report) heatMapRows(step float64) (rows []heatMapRow) {
	for i, s := range d.Servers {
		r := heatMapRow{Y: rowHeight * float64(i), Name: s.Name}
		for second, held := range s.InFlight {
			if held > 0 {
				r.Cells = append(r.Cells, plotBar{X: float64(second) * step, Y: rowHeight * float64(i), W: step, H: rowHeight - 2,
					Kind:  fmt.Sprintf("%.2f", min(1, 0.08+0.92*float64(held)/float64(max(1, s.Capacity)))),
					Title: fmt.Sprintf("%s, second %d: %d held, room for %d", s.Name, second, held, s.Capacity)})
			}
		}
		rows = append(rows, r)
	}
	return rows
}

// kindNames maps the CSS class of a result to its name on the page.
var kindNames = map[string]string{"intime": "in time", "late": "late", "refused": "refused", "failed": "failed", "lost": "unanswered"}

// reportPage is the template of the report. It reads the fields of htmlPage and Report by name.
var reportPage = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; color: #1d2430; max-width: 1120px; margin: 2em auto; padding: 0 1em }
h1 { font-size: 1.4em } h2 { font-size: 1.05em; margin-top: 2em }
.figures { display: flex; gap: 2em } .figures b { display: block; font-size: 1.7em; font-weight: 600 }
.held { color: #1b7a3d } .broken { color: #b3261e }
svg { overflow: visible; background: #f6f7f9 } svg text { font-size: 11px; fill: #4a5362 }
.intime { fill: #4b9e6a } .late { fill: #e0b23c } .refused { fill: #7d8fb3 } .failed { fill: #c2453d } .lost { fill: #5b1a5e }
.legend span { display: inline-block; width: .8em; height: .8em; margin: 0 .35em 0 1.1em }
.band { fill: #1d2430; opacity: .09 } .heat { fill: #c2453d }
table { border-collapse: collapse } td, th { padding: .15em .9em .15em 0; text-align: right } td:first-child, th:first-child { text-align: left }
</style></head><body>
<h1>{{.Title}}</h1>
<p class="{{if .Passed}}held{{else}}broken{{end}}">{{if .Passed}}The four rules and all assertions held.{{else}}Not all rules and assertions held.{{end}}</p>
{{range .Report.Violations}}<p class="broken">{{.}}</p>{{end}}{{range .Report.FailedAssertions}}<p class="broken">{{.}}</p>{{end}}{{range .Report.Notes}}<p>{{.}}</p>{{end}}
<div class="figures">{{range .Figures}}<div><b>{{printf "%.4f" .Value}}</b>{{.Name}}</div>{{end}}</div>
<h2>Requests by the second in which they came</h2>
<p class="legend"><span style="background:#4b9e6a"></span>in time<span style="background:#e0b23c"></span>late<span style="background:#7d8fb3"></span>refused<span style="background:#c2453d"></span>failed<span style="background:#5b1a5e"></span>unanswered; the highest second has {{printf "%.0f" .Most}}</p>
<svg width="{{.Width}}" height="{{.Height}}" style="margin-bottom:1.6em">
{{range .Bars}}<rect class="{{.Kind}}" x="{{printf "%.1f" .X}}" y="{{printf "%.1f" .Y}}" width="{{printf "%.1f" .W}}" height="{{printf "%.1f" .H}}"><title>{{.Title}}</title></rect>
{{end}}{{$h := .Height}}{{range .Bands}}<rect class="band" x="{{printf "%.1f" .X}}" y="0" width="{{printf "%.1f" .W}}" height="{{$h}}"/><text x="{{printf "%.1f" .X}}" y="{{printf "%.0f" .TextY}}">{{.Name}}</text>
{{end}}{{range .Ticks}}<text x="{{printf "%.1f" .X}}" y="{{$h}}" dy="14">{{.Name}}</text>{{end}}</svg>
<h2>How full each server was</h2>
<p>Requests held over the slots and the waiting room.</p>
<svg width="{{.Width}}" height="{{.HeatHeight}}" style="margin-left:0">
{{range .Rows}}{{range .Cells}}<rect class="heat" x="{{printf "%.1f" .X}}" y="{{printf "%.1f" .Y}}" width="{{printf "%.1f" .W}}" height="{{printf "%.1f" .H}}" opacity="{{.Kind}}"><title>{{.Title}}</title></rect>{{end}}<text x="968" y="{{printf "%.1f" .Y}}" dy="12">{{.Name}}</text>
{{end}}</svg>
<h2>Classes</h2>
<table><tr><th>class</th><th>asked</th><th>in time</th><th>late</th><th>refused</th><th>failed</th><th>unanswered</th></tr>
{{range .Report.Classes}}<tr><td>{{.Name}}</td><td>{{.Offered}}</td><td>{{.InTime}}</td><td>{{.Late}}</td><td>{{.Rejected}}</td><td>{{.Failed}}</td><td>{{.Unanswered}}</td></tr>{{end}}</table>
</body></html>
`))
