// Package seed fixes the seed of the property tests of every test package that imports it, so that each run has the same
// verdict. The flag -rapid.seed overrides it, and with it the long runs of docs/proof.md draw fresh seeds.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// fixed is the seed that -rapid.seed stands at unless it is given.
const fixed = "20260102"

func init() {
	if err := flag.Set("rapid.seed", fixed); err != nil {
		panic(err) // the flag is registered by the import
	}
}
