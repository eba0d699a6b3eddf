// Package document reads YAML and JSON documents strictly. A reader asks sections for their fields; everything that is
// wrong (unknown, missing and repeated fields, wrong types, values out of range) is collected, and reported together
// with file, line, field, the value found and the values allowed.
//
// Aliases, anchors, tags, merge keys and streams of several documents are refused, because they make a document mean
// something else than it shows.
package document
