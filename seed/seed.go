// Package seed sets a fixed seed for the property tests of every test package that imports it, so that each run tests
// the same cases. The flag -rapid.seed overrides the seed; the long runs of docs/proof.md use it to draw new cases.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag -rapid.seed
)

// fixed is the value of the flag -rapid.seed unless the command line sets it.
const fixed = "20260102"

func init() {
	if err := flag.Set("rapid.seed", fixed); err != nil {
		panic(err) // the flag is registered by the import
	}
}
