package parser

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// maxSheetBytes bounds the size of a sheet, at 64 MiB; 19,000 accounts and 3,300
// targets need 4 MB.
const maxSheetBytes = 64 << 20

// record is one row of the sheet. The cells of a row can contain line breaks.
type record struct {
	// row is the line of the file on which the row starts, counted from 1. Blank rows
	// and line breaks inside cells count.
	row int
	// cells maps columns to cells that are not empty, without surrounding spaces.
	cells map[string]string
}

// readText returns the text without its byte-order mark. It adds a fault if the
// text is too long or not UTF-8.
func readText(r io.Reader, faults *Faults) (string, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxSheetBytes+1))
	if err != nil {
		return "", errors.Wrap(err, "read sheet")
	}
	switch {
	case len(body) > maxSheetBytes:
		faults.add(0, "", "more than 64 MB", "at most 64 MB")
	case bytes.HasPrefix(body, []byte("\xff\xfe")), bytes.HasPrefix(body, []byte("\xfe\xff")):
		faults.add(0, "", "UTF-16 text", "CSV UTF-8 (choose it when saving)")
	case !utf8.Valid(body):
		faults.add(firstInvalidRow(body), "", "bytes that are not UTF-8", "CSV UTF-8 (choose it when saving)")
	}
	return strings.TrimPrefix(string(body), "\ufeff"), nil
}

// firstInvalidRow returns the line of the first byte that is not valid UTF-8.
func firstInvalidRow(body []byte) int {
	row := 1
	for len(body) > 0 {
		r, size := utf8.DecodeRune(body)
		if r == utf8.RuneError && size == 1 {
			break
		}
		if r == '\n' {
			row++
		}
		body = body[size:]
	}
	return row
}

// separator returns the cell separator: the most frequent of comma, semicolon and
// tab in the header row. The names of columns contain none of them.
func separator(text string) rune {
	header, _, _ := strings.Cut(text, "\n")
	best := ','
	for _, s := range ";\t" {
		if strings.Count(header, string(s)) > strings.Count(header, string(best)) {
			best = s
		}
	}
	return best
}

// readRecords returns the records of the text up to and including the end row, without
// the header row and blank rows. complete reports whether the text was read
// to its end and has an end row, so that rules about all rows can be checked. If
// faults is not empty once the header is read, because of a fault of the header or one
// found before the call, readRecords returns no records.
func readRecords(text string, faults *Faults) (records []record, complete bool) {
	reader := csv.NewReader(strings.NewReader(text))
	reader.Comma, reader.FieldsPerRecord = separator(text), -1
	var header []string
	row, ended := 0, false
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var parseErr *csv.ParseError
		if errors.As(err, &parseErr) {
			// After a misplaced quote, the boundaries of cells and rows are not known.
			faults.add(parseErr.StartLine, "", "a quote that is not closed or stands inside a cell", "quotes around the whole cell, doubled inside")
			return records, false
		}
		if isBlank(fields) {
			continue
		}
		row, _ = reader.FieldPos(0)
		switch {
		case header == nil:
			if header = readHeader(row, fields, faults); len(faults.List) > 0 {
				return nil, false
			}
		case ended:
			faults.add(row, "kind", quote(fields[0]), "nothing after the end row")
		default:
			next := readRecord(row, header, fields, faults)
			ended = next.cells["kind"] == string(kindEnd)
			records = append(records, next)
		}
	}
	switch {
	case header == nil:
		faults.add(0, "", "an empty file", "a header row, rows and an end row")
	case !ended:
		faults.add(row+1, "kind", "the end of the file", "an end row; without it the sheet may be truncated")
	}
	return records, ended
}

func isBlank(fields []string) bool {
	return strings.TrimSpace(strings.Join(fields, "")) == ""
}

// readHeader returns the column of each field, or "" for fields without a known
// column, and adds faults for unknown, repeated and missing columns.
func readHeader(row int, fields []string, faults *Faults) []string {
	header := make([]string, len(fields))
	for i, f := range fields {
		name := strings.TrimSpace(f)
		switch {
		case name == "":
		case !isColumn(name):
			faults.add(row, name, "an unknown column", strings.Join(columns(), ", "))
		case contains(header, name):
			faults.add(row, name, "the column twice", "each column once")
		default:
			header[i] = name
		}
	}
	for _, name := range requiredColumns() {
		if !contains(header, name) {
			faults.add(row, name, "no such column", "a header with "+strings.Join(requiredColumns(), ", "))
		}
	}
	return header
}

func readRecord(row int, header, fields []string, faults *Faults) record {
	cells := make(map[string]string, len(fields))
	for i, f := range fields {
		cell := strings.TrimSpace(f)
		switch {
		case cell == "":
		case i >= len(header) || header[i] == "":
			faults.add(row, fmt.Sprintf("number %d", i+1), quote(cell), "cells under a known column only")
		default:
			cells[header[i]] = cell
		}
	}
	return record{row: row, cells: cells}
}
