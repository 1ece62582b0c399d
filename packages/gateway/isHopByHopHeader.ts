const hopByHopHeaders = new Set([
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

/**
 * Whether a header, in lower case, applies to one connection only and is not forwarded; `named` are those
 * that `Connection` lists.
 */
export function isHopByHopHeader(name: string, named: ReadonlySet<string>): boolean {
  return hopByHopHeaders.has(name) || named.has(name);
}
