// Package codec is a stand-in for a platform's keys and formats: the configuration and the
// directory of workers are stored as JSON of the product's own types.
package codec
