import type { Address } from "./Address";

const maxPort = 65_535;

/** Reads `host:port`; an IPv6 host is in brackets. Null for any other text and for a port out of range. */
export function matchAddress(text: string): Address | null {
  const match = /^(?:\[([^\]\s]+)\]|([^:\s]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2];
  const port = Number(match?.[3]);
  return host !== undefined && port > 0 && port <= maxPort ? { host, port } : null;
}
