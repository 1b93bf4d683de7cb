/**
 * HTTP/1.1 on both sides of the gateway: downstream, the requests of clients with one response each; upstream, the connections to
 * servers and the attempts on them. Nothing here decides which server a request is sent to, or whether it is retried, refused or
 * failed.
 */
package cinderhollow.http1;
