// Package settings reads the settings of an entry VM and of the platform stand-in. Documents are strict: unknown fields
// and values that contradict each other are errors, reported before any port is opened.
package settings
