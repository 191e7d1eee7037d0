package api

import (
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
)

// codecName is the content subtype of all calls ("application/grpc+cbor").
const codecName = "cbor"

// Bounds on input from outside the process.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 18
	maxMapPairs      = 1 << 16
)

// codec encodes gRPC messages in CBOR.
type codec struct{}

// Marshal encodes a message.
func (codec) Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes a message within the same bounds as the function [Unmarshal].
func (codec) Unmarshal(data []byte, v any) error { return strictDecMode.Unmarshal(data, v) }

// Name returns the content subtype that selects the codec.
func (codec) Name() string { return codecName }

func init() { encoding.RegisterCodec(codec{}) }

// strictDecMode bounds the size of decoded values and rejects duplicate map keys.
var strictDecMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Unmarshal decodes CBOR from outside the process. Nesting depth and the sizes of arrays and
// maps are bounded. Duplicate map keys and data after the first item are errors.
func Unmarshal(data []byte, v any) error { return strictDecMode.Unmarshal(data, v) }
