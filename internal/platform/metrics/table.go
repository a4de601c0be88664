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

// Column holds the samples of one process, or the sums of several processes. Name is its heading.
type Column struct {
	Name    string
	Samples Samples
}

// Add adds the value of each series of other to s.
func (s Samples) Add(other Samples) {
	for name, value := range other {
		s[name] += value
	}
}

// Table shows the samples of several columns side by side, with their sum.
type Table struct {
	columns []Column
	sum     Samples
	names   []string
}

// NewTable creates a table of the series whose name or labels contain a substring.
func NewTable(columns []Column, substring string) Table {
	table := Table{columns: columns, sum: Samples{}}
	for _, column := range columns {
		table.sum.Add(column.Samples)
	}
	for _, name := range slices.Sorted(maps.Keys(table.sum)) {
		if strings.Contains(name, substring) {
			table.names = append(table.names, name)
		}
	}
	return table
}

// Write writes the table as JSON or as text. The text has a row for each series, and a column for each process or role and for
// the sum.
func (t Table) Write(output io.Writer, isJSON bool) error {
	if isJSON {
		return t.writeJSON(output)
	}
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprint(writer, "metric")
	for _, column := range t.columns {
		fmt.Fprint(writer, "\t", column.Name)
	}
	fmt.Fprintln(writer, "\tsum")
	for _, name := range t.names {
		fmt.Fprint(writer, name)
		for _, column := range t.columns {
			fmt.Fprint(writer, "\t", formatCell(column.Samples, name))
		}
		fmt.Fprintln(writer, "\t"+formatCell(t.sum, name))
	}
	return writer.Flush()
}

func formatCell(samples Samples, name string) string {
	value, exists := samples[name]
	if !exists {
		return "-"
	}
	return strconv.FormatFloat(value, 'f', -1, 64)
}

func (t Table) writeJSON(output io.Writer) error {
	type jsonMetric struct {
		Metric string             `json:"metric"`
		Values map[string]float64 `json:"values"`
		Sum    float64            `json:"sum"`
	}
	all := []jsonMetric{}
	for _, name := range t.names {
		metric := jsonMetric{Metric: name, Values: map[string]float64{}, Sum: t.sum[name]}
		for _, column := range t.columns {
			if value, exists := column.Samples[name]; exists {
				metric.Values[column.Name] = value
			}
		}
		all = append(all, metric)
	}
	return json.NewEncoder(output).Encode(map[string]any{"metrics": all})
}
