// Package wire holds the messages that the processes of the system send each other, and the records of which they are made: log
// positions, voter sets, members, jobs' terms. Their JSON names are what is sent and stored, and stay; golden tests hold them.
package wire
