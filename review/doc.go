// Package review holds the cases of an independent review: REPORT.md lists them, and each folder with a number has one.
// The test that plays their scripts has the build tag review:
//
//	sh review/build.sh && go test -count=1 -tags review ./review
package review
