const connectionHeaders = new Set([
  "connection",
  "content-length",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Whether a header, in lower case, concerns one connection only and is not passed on. */
export function isConnectionHeader(name: string, named: ReadonlySet<string>): boolean {
  return connectionHeaders.has(name) || named.has(name);
}
