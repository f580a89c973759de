// Package head checks the heads of HTTP/1 responses before a library reads them. The libraries accept more than
// RFC 9112 defines, and each of them something else: any status, and names of fields with blanks, which they
// drop or strip, so that a body may be framed in another way than its sender meant.
package head
