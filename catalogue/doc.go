// Package catalogue implements the configuration that operators edit. The catalogue proper defines entries (the kinds
// of work that callers can submit; not to be confused with entry VMs), teams and pools. The configuration adds API keys
// and the service state of availability zones and VMs.
//
// The package parses and validates YAML documents and table rows, compares catalogues, and authorizes callers by their
// keys. For a change of the configuration it returns the table transaction, which the caller commits. It does no I/O
// and reads no clock.
package catalogue
