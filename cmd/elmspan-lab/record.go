package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"example.org/elmspan/lab/scenario"
)

// The columns of a record.
const (
	columnAt = iota // seconds since the beginning
	columnClass
	columnTenant
	recordColumns
)

// writeRecord writes what is sent to a file, for replay.
func writeRecord(path string, requests []scheduledRequest) error {
	var lines [][]string
	for _, r := range requests {
		at := strconv.FormatFloat(r.at.Seconds(), 'f', 6, 64)
		lines = append(lines, []string{at, r.class.Name, r.tenant})
	}
	return writeCSVFile(path, lines)
}

// readRecord reads what is to be sent. Each line needs a time and a class of the day.
func readRecord(path string, day *scenario.Day) (requests []scheduledRequest, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	classes := map[string]*scenario.Class{}
	for i := range day.Classes {
		classes[day.Classes[i].Name] = &day.Classes[i]
	}
	lines := csv.NewReader(f)
	lines.FieldsPerRecord = recordColumns
	for {
		row, err := lines.Read()
		if errors.Is(err, io.EOF) {
			return requests, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		at, err := strconv.ParseFloat(row[columnAt], 64)
		class := classes[row[columnClass]]
		if err != nil || at < 0 || class == nil {
			line, _ := lines.FieldPos(0)
			return nil, fmt.Errorf("%s: line %d: %q is no time and class of the day", path, line, row)
		}
		requests = append(requests, scheduledRequest{seconds(at), class, row[columnTenant]})
	}
}
