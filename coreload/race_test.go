//go:build race

package coreload

const raced = true
