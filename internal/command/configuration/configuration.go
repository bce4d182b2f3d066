// Package configuration changes the configuration. Apply is a pure function from a configuration and a command to the next
// configuration or a refusal. Writer stores the result by compare-and-swap writes.
package configuration
