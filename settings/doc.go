// Package settings parses and validates the YAML settings of an entry VM, and those of the platform stand-in, which
// replaces the platform's services and backend servers in local runs and tests. Load and Parse return the settings with
// all defaults. They return an error that lists all problems, including unknown fields and values that contradict each
// other, so that a process can report them before it opens a port.
package settings
