package main

import (
	"strings"
	"testing"
)

const schema = `{"title":"Frame","properties":{"sender":{},"id":{}},"$defs":{"Probe":{"properties":{"nonce":{}}}}}`

// TestTagNumbersFieldsBySchemaOrder guards against keys that depend on the order
// of the generated fields, which is alphabetical, so that an addition would change
// them.
func TestTagNumbersFieldsBySchemaOrder(t *testing.T) {
	keys, err := parseKeys([]byte(schema))
	if err != nil {
		t.Fatal(err)
	}
	got, err := tag("type Frame struct {\n\tID uint64 `json:\"id\"`\n\tSender string `json:\"sender,omitempty\"`\n}\n"+
		"type Probe struct {\n\tNonce uint64 `json:\"nonce\"`\n}\n", keys)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"`json:\"id\" cbor:\"2,keyasint,omitempty\"`",
		"`json:\"sender,omitempty\" cbor:\"1,keyasint,omitempty\"`", "`json:\"nonce\" cbor:\"1,keyasint,omitempty\"`"} {
		if !strings.Contains(got, want) {
			t.Errorf("no %s in\n%s", want, got)
		}
	}
}

// TestTagRefusesUnknownFields guards against Go types that were generated from
// another version of the schema.
func TestTagRefusesUnknownFields(t *testing.T) {
	keys, err := parseKeys([]byte(schema))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tag("type Probe struct {\n\tID uint64 `json:\"id\"`\n", keys); err == nil {
		t.Error("no error")
	}
}
