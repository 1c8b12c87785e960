// Package check validates numbers and addresses that come from outside the process. The
// errors name the field in the words of the sender.
package check
