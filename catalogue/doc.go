// Package catalogue holds the configuration that operators edit: entries, teams, pools, keys, and the state of
// availability zones and VMs. It validates documents, compares them, builds the table transactions that change them,
// and decides who may use what. The package does no I/O and reads no clock.
package catalogue
