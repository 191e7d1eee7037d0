//go:build !race

package model

const raced = false
