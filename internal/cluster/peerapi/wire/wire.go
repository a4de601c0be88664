// Package wire defines the messages between the processes of the cluster and the records in them, such as log positions, voter sets and
// members. Their JSON names are on the wire and in stored data, so they must not change. Golden tests check them.
package wire
