package http1

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"appleledge/internal/balancer"
	"appleledge/internal/simwire"
)

// maxReportValue is the largest value of a load report; a report with a larger one is malformed.
const maxReportValue = 1e9

// ReadReport returns the first well-formed load report of a response, or balancer.NoReport. It calls onMalformed for each
// report before that which can't be read.
func ReadReport(header http.Header, fields []string, onMalformed func(error)) balancer.Report {
	for _, text := range header.Values("X-Server-Load") {
		r, err := ParseReport(text, fields)
		if err == nil {
			return r
		}
		onMalformed(err)
	}
	return balancer.NoReport
}

// ParseReport reads the value of an X-Server-Load header; fields names the values that are used. A report in which any value
// is not a number from 0 to maxReportValue is an error, and no part of it may be used.
func ParseReport(text string, fields []string) (balancer.Report, error) {
	r := balancer.NoReport
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(x) || x < 0 || x > maxReportValue {
			return r, fmt.Errorf("load report %.100q", text)
		}
		for _, f := range fields {
			if f == name {
				simwire.SetReportField(&r, name, x)
			}
		}
	}
	return r, nil
}
