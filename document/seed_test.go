package document_test

import "flag"

// Fixes the seed of the property tests, so that every run has the same verdict. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20260102"); err != nil {
		panic(err)
	}
}
