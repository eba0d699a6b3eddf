// Package remote implements the interfaces of package provider over HTTP and JSON. It has clients for the table, the
// object store, the VM list and backend servers, and a server for the simulated platform of package standin.
//
// Every operation is a POST with a JSON body. Status 200 carries an outcome. Any status from 400 to 499, and 503, means
// that the operation had no effect, and the clients return Unavailable. To simulate a lost reply, the server closes the
// connection without a response.
//
// A client returns Unavailable if it couldn't connect, and OutcomeUnknown if it sent a request and received no reply
// before its context ended or the connection failed. Reads have no effect, so they return Unavailable in both cases.
package remote
