package retry_test

import _ "github.com/pistachiolead/pistachiolead/seed" // sets a fixed seed for the property-based tests
