package sidecar

// ReadyTargets counts the ready targets of the table in use.
var ReadyTargets = readyTargets
