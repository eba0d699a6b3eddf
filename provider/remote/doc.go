// Package remote carries the platform's interfaces over HTTP and JSON: clients for the table, the object store, the VM
// list and backend servers, and a server that offers a stand-in platform.
//
// Every operation is a POST with a JSON body. Status 200 carries an outcome. Any status from 400 to 499, and 503, says
// that the operation had no effect, which the clients return as Unavailable. A server that loses a reply closes the
// connection.
//
// A client returns Unavailable if it could not connect, and Unknown if it sent a request and received no reply before
// its context ended or the connection broke. Reads have no effect, so their outcome is Unavailable in both cases.
package remote
