import { isHopByHopHeader } from "./isHopByHopHeader";

/** Returns a header list without hop-by-hop headers, including those that `Connection` lists. */
export function selectEndToEndHeaders(headers: readonly string[]): string[] {
  const named = new Set<string>();
  for (let at = 0; at < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() === "connection") {
      for (const token of (headers[at + 1] ?? "").split(",")) {
        named.add(token.trim().toLowerCase());
      }
    }
  }
  const selected: string[] = [];
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at] ?? "";
    if (!isHopByHopHeader(name.toLowerCase(), named)) {
      selected.push(name, headers[at + 1] ?? "");
    }
  }
  return selected;
}
