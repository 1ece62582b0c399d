import type { Address } from "./Address";

/** Writes an address as `host:port`, as `matchAddress` reads it; an IPv6 host is in brackets. */
export function formatAddress({ host, port }: Address): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
