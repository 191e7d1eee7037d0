//go:build !race

package coreload

const raced = false
