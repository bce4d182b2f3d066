package sidecar

// CountReadyTargets exports countReadyTargets to tests.
var CountReadyTargets = countReadyTargets
