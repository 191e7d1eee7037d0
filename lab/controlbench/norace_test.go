//go:build !race

package controlbench

const raced = false
