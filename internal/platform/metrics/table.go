package metrics

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Column is the samples of one process, or the sums over several.
type Column struct {
	Name    string
	Samples Samples
}

// Add adds the other samples to these, name by name.
func (s Samples) Add(other Samples) {
	for name, value := range other {
		s[name] += value
	}
}

// Table shows columns side by side, with their sum.
type Table struct {
	columns []Column
	sum     Samples
	names   []string
}

// NewTable keeps the series whose names hold the text.
func NewTable(columns []Column, match string) Table {
	table := Table{columns: columns, sum: Samples{}}
	for _, column := range columns {
		table.sum.Add(column.Samples)
	}
	for _, name := range slices.Sorted(maps.Keys(table.sum)) {
		if strings.Contains(name, match) {
			table.names = append(table.names, name)
		}
	}
	return table
}

// Write writes the table as text with a column for each process, or as JSON.
func (t Table) Write(to io.Writer, isJSON bool) error {
	if isJSON {
		return t.writeJSON(to)
	}
	lines := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprint(lines, "metric")
	for _, column := range t.columns {
		fmt.Fprint(lines, "\t", column.Name)
	}
	fmt.Fprintln(lines, "\tsum")
	for _, name := range t.names {
		fmt.Fprint(lines, name)
		for _, column := range t.columns {
			fmt.Fprint(lines, "\t", cell(column.Samples, name))
		}
		fmt.Fprintln(lines, "\t"+cell(t.sum, name))
	}
	return lines.Flush()
}

func cell(samples Samples, name string) string {
	value, isThere := samples[name]
	if !isThere {
		return "-"
	}
	return strconv.FormatFloat(value, 'f', -1, 64)
}

func (t Table) writeJSON(to io.Writer) error {
	type shown struct {
		Metric string             `json:"metric"`
		Values map[string]float64 `json:"values"`
		Sum    float64            `json:"sum"`
	}
	all := []shown{}
	for _, name := range t.names {
		metric := shown{Metric: name, Values: map[string]float64{}, Sum: t.sum[name]}
		for _, column := range t.columns {
			if value, isThere := column.Samples[name]; isThere {
				metric.Values[column.Name] = value
			}
		}
		all = append(all, metric)
	}
	return json.NewEncoder(to).Encode(map[string]any{"metrics": all})
}
