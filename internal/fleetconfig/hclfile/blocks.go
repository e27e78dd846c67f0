package hclfile

import (
	"net/netip"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"appleledge/internal/fleetconfig"
)

// The attributes and blocks that the kinds of blocks have. These names are the file format. Blocks are decoded one by one, so that each
// diagnostic has its place. A pointer tells what is not set from zero.
type (
	selectorBlock struct {
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
		Class       string  `hcl:"class,optional"`
		Tenant      string  `hcl:"tenant,optional"`
		MaxInFlight *int    `hcl:"in_flight,optional"`
		Rate        float64 `hcl:"rate,optional"`
		Burst       int     `hcl:"burst,optional"`
		MaxAttempts int     `hcl:"attempts,optional"`
		RetryAfter  string  `hcl:"come_back,optional"`
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
		Duration    string   `hcl:"for,optional"`
		FalseAlarms *float64 `hcl:"false_alarms,optional"`
	}
)

// schema is what may stand at the top level of a file.
var schema = &hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{
	{Type: "variable", LabelNames: []string{"name"}}, {Type: "locals"},
	{Type: "pool", LabelNames: []string{"name"}}, {Type: "route", LabelNames: []string{"name"}},
	{Type: "limit", LabelNames: []string{"name"}}, {Type: "drain", LabelNames: []string{"name"}},
	{Type: "deadline", LabelNames: []string{"name"}}, {Type: "rollout"}, {Type: "watch"},
}}

// decode turns the files' blocks into a configuration.
func (r *reader) decode(body hcl.Body) *fleetconfig.Config {
	content, diags := body.Content(schema)
	r.diags = append(r.diags, diags...)
	if diags.HasErrors() {
		return nil
	}
	blocks := content.Blocks.ByType()
	context := &hcl.EvalContext{Variables: map[string]cty.Value{"var": r.evaluateVariables(blocks["variable"])}}
	r.evaluateLocals(blocks["locals"], context)
	c := &fleetconfig.Config{}
	r.objects = map[string]hcl.Range{}
	for _, b := range content.Blocks {
		if r.diags.HasErrors() && len(r.diags) > maxDiagnostics {
			break
		}
		r.decodeBlock(c, b, context)
	}
	return c
}

// decodeBlock adds the object of a block to the configuration.
func (r *reader) decodeBlock(c *fleetconfig.Config, b *hcl.Block, context *hcl.EvalContext) {
	name := ""
	if len(b.Labels) > 0 {
		name = b.Labels[0]
	}
	switch b.Type {
	case "pool":
		if pool, ok := decodeBody[selectorBlock](r, b, name, context); ok {
			c.Pools = append(c.Pools, fleetconfig.Pool{Name: name, Selector: r.selector(pool, b)})
		}
	case "drain":
		if drain, ok := decodeBody[drainBlock](r, b, name, context); ok {
			selector := selectorBlock{drain.Kinds, drain.Zones, drain.Pods, drain.IDs, drain.Networks}
			c.Drains = append(c.Drains, fleetconfig.Drain{Name: name, Share: valueOr(drain.Share, 1), Selector: r.selector(selector, b)})
		}
	case "route":
		if route, ok := decodeBody[routeBlock](r, b, name, context); ok {
			c.Routes = append(c.Routes, newRoute(name, route))
		}
	case "limit":
		if limit, ok := decodeBody[limitBlock](r, b, name, context); ok {
			c.Limits = append(c.Limits, fleetconfig.Limit{Name: name, Class: limit.Class, Tenant: limit.Tenant, MaxInFlight: limit.MaxInFlight, Rate: limit.Rate,
				Burst: limit.Burst, MaxAttempts: limit.MaxAttempts, RetryAfter: r.duration(limit.RetryAfter, 0, b, "come_back")})
		}
	case "deadline":
		if deadline, ok := decodeBody[deadlineBlock](r, b, name, context); ok {
			c.Deadlines = append(c.Deadlines, fleetconfig.Deadline{Name: name, Class: deadline.Class, Tenant: deadline.Tenant,
				AtMost: r.duration(deadline.AtMost, 0, b, "at_most")})
		}
	case "rollout":
		if !r.isFirst(c.Rollout != nil, b) {
			return
		}
		if rollout, ok := decodeBody[rolloutBlock](r, b, name, context); ok {
			c.Rollout = &fleetconfig.Rollout{Step: rollout.Step, Wait: r.duration(rollout.Wait, 0, b, "wait")}
		}
	case "watch":
		if !r.isFirst(c.Watch != nil, b) {
			return
		}
		if watch, ok := decodeBody[watchBlock](r, b, name, context); ok {
			c.Watch = &fleetconfig.Watch{Duration: r.duration(watch.Duration, fleetconfig.DefaultWatchDuration, b, "for"),
				FalseAlarms: valueOr(watch.FalseAlarms, fleetconfig.DefaultFalseAlarms)}
		}
	}
}

// decodeBody decodes the body of a block and notes where its object is defined.
func decodeBody[T any](r *reader, b *hcl.Block, name string, context *hcl.EvalContext) (decoded T, ok bool) {
	r.objects[objectKey(b.Type, name)] = b.DefRange
	diags := gohcl.DecodeBody(b.Body, context, &decoded)
	r.diags = append(r.diags, diags...)
	return decoded, !diags.HasErrors()
}

func newRoute(name string, b routeBlock) fleetconfig.Route {
	route := fleetconfig.Route{Name: name, Priority: b.Priority, Class: b.Class, Tenant: b.Tenant, PathPrefix: b.PathPrefix, Headers: b.Headers}
	for _, to := range b.To {
		route.To = append(route.To, fleetconfig.Target{Pool: to.Pool, Weight: valueOr(to.Weight, 1)})
	}
	return route
}

// valueOr returns the value that a pointer points to, or a default if it is nil.
func valueOr[T any](value *T, defaultValue T) T {
	if value == nil {
		return defaultValue
	}
	return *value
}

// isFirst adds a diagnostic for a second block of a kind of which there is one.
func (r *reader) isFirst(exists bool, b *hcl.Block) bool {
	if exists {
		r.add(b.DefRange, "Twice", "There is one %s block in a configuration; another stands at %s.", b.Type, r.objects[objectKey(b.Type, "")])
	}
	return !exists
}

// duration returns the value of a field that holds a duration, or a default where it is not set.
func (r *reader) duration(text string, defaultValue fleetconfig.Duration, b *hcl.Block, field string) fleetconfig.Duration {
	if text == "" {
		return defaultValue
	}
	var d fleetconfig.Duration
	if err := d.UnmarshalText([]byte(text)); err != nil {
		r.add(fieldRange(b, field), "No duration", "%v.", err)
	}
	return d
}

// selector returns the selector of a block.
func (r *reader) selector(s selectorBlock, b *hcl.Block) fleetconfig.Selector {
	out := fleetconfig.Selector{Kinds: s.Kinds, Zones: s.Zones, Pods: s.Pods, IDs: s.IDs}
	for _, text := range s.Networks {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			r.add(fieldRange(b, "networks"), "No network", "%q is no network; write an address and a length, such as \"10.1.0.0/16\".", text)
			continue
		}
		out.Networks = append(out.Networks, p)
	}
	return out
}

// fieldRange returns where a block sets a field, or else where it begins.
func fieldRange(b *hcl.Block, field string) hcl.Range {
	if body, ok := b.Body.(*hclsyntax.Body); ok && body.Attributes[field] != nil {
		return body.Attributes[field].SrcRange
	}
	return b.DefRange
}
