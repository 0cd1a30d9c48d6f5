// Package plain is a stand-in for a platform's names and formats: what operators and workers
// write in the store is the product's own types as JSON.
package codec
