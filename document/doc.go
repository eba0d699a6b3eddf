// Package document parses and validates YAML and JSON documents, such as settings files and catalogues. ParseYAML and
// ParseJSON return a Document. Its reader calls methods of its Sections for the fields that it knows, with the allowed
// values, and then Document.Err. Err returns all problems at once: unknown, missing and duplicate fields, wrong types
// and values out of range. Each gives the file, the line, the field, the value found and the values allowed.
//
// Aliases, anchors, tags, merge keys and streams of several documents are rejected, because with them the meaning of a
// document differs from its text.
package document
