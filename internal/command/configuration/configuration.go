// Package configuration decides changes of the configuration: pure functions from a configuration and a command to the
// next configuration or a refusal, and the writer that turns them into compare-and-swap writes.
package configuration
