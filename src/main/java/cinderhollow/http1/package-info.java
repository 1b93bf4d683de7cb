/**
 * HTTP/1.1 on both sides: clients' requests and their one answer, hosts' connections and attempts on them.
 * Nothing here decides where a request goes, or whether it is tried again, refused or failed.
 */
package cinderhollow.http1;
